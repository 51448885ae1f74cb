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

// A record with one field replaced by JSON text.
function buildText(field: string, text: string): string {
  const document = JSON.stringify({ ...VALID, [field]: "REPLACED" });
  return document.replace('"REPLACED"', text);
}

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
    // Guards against numbers that cannot be passed on or hide all later entries.
    ["a number too large", buildText("slots", "1e999")],
    ["too many slots", buildText("slots", "1000000000000000")],
    ["a warm-up without end", buildText("warmup_remaining_s", "1e308")],
    ["a sequence number too large", buildText("sequence_number", "1e308")],
    [
      "an inexact sequence number",
      buildText("sequence_number", "9007199254740993"),
    ],
    ["a start in the far future", buildText("born", "1000000000000000")],
    ["a start before all clocks", buildText("born", "-1")],
    ["nesting in a field", buildText("service", "[".repeat(60_000))],
    [
      "nested arrays",
      "[".repeat(60_000) + "]".repeat(60_000),
    ],
  ];
  it.each(invalid)("rejects %s", (_name, value) => {
    expect(decodeServer("i-1", Buffer.from(value, "latin1")).ok).toBe(false);
  });

  // Guards against servers that are used by what another writer has left.
  it.each(Object.keys(VALID))("rejects an entry without %s", (field) => {
    const text = JSON.stringify({ ...VALID, [field]: undefined });
    expect(decodeServer("i-1", Buffer.from(text)).ok).toBe(false);
  });

  it.each(
    Object.keys(VALID).flatMap((field) =>
      ["null", "true", "[]", "{}", '""'].map((text) => [field, text])
    ),
  )("rejects an entry with %s as %s", (field, text) => {
    const bytes = Buffer.from(buildText(field, text));
    expect(decodeServer("i-1", bytes).ok).toBe(false);
  });

  it.each(["", "i-\r\nx: y", "i-\u{1f409}"])("rejects the key %j", (key) => {
    expect(decodeServer(key, Buffer.from(JSON.stringify(VALID))).ok).toBe(
      false,
    );
  });
});
