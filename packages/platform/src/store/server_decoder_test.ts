import { decodeServer } from "./server_decoder.ts";

const VALID = {
  service: "s",
  address: "10.0.0.9:8080",
  zone: "z",
  version: "v1",
  slots: 3,
  state: "ready",
  warmup_remaining_s: 1.5,
  sequence_number: 4,
  born: 1_700_000_000_000,
};

describe("decodeServer", () => {
  it("decodes an announcement", () => {
    expect(decodeServer("i-1", Buffer.from(JSON.stringify(VALID))))
      .toMatchSnapshot();
  });

  it("decodes a draining server as leaving", () => {
    const text = JSON.stringify({ ...VALID, state: "draining" });
    const decoded = decodeServer("i-1", Buffer.from(text));
    expect(decoded.ok && decoded.value.state).toBe("leaving");
  });

  const invalid: readonly (readonly [name: string, value: string])[] = [
    ["bytes that are not valid UTF-8", "\xff\xfe"],
    ["an unknown state", JSON.stringify({ ...VALID, state: "sleeping" })],
    ["slots as text", JSON.stringify({ ...VALID, slots: "3" })],
    ["no slots", JSON.stringify({ ...VALID, slots: 0 })],
    ["no address", JSON.stringify({ ...VALID, address: undefined })],
    ["a host name", JSON.stringify({ ...VALID, address: "server:80" })],
    [
      "a port out of range",
      JSON.stringify({
        ...VALID,
        address: "10.0.0.1:70000",
      }),
    ],
    ["an array", "[]"],
  ];
  it.each(invalid)("rejects %s", (_name, value) => {
    expect(decodeServer("i-1", Buffer.from(value, "latin1")).ok).toBe(false);
  });
});
