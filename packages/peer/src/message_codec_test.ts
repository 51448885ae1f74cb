import { decodeMessage, encodeMessage } from "./message_codec.ts";

// A message between two leaders at rest, as large as on a small site.
const MESSAGE = {
  from: "frontend-south-a-3",
  startedAtMs: 1_764_858_877_123,
  clockMs: 41_234.512_3,
  echo: { startedAtMs: 1_764_858_877_201, clockMs: 41_100.1 },
  knowsReceiver: true,
  isLeaving: false,
  leads: ["a-3", "b-10", "c-1", "d-1"].map((name, index) => ({
    vm: `frontend-south-${name}`,
    sinceMs: 1_764_858_877_900 + index,
    ageMs: 40 * index,
    requestsPerSecond: 20,
  })),
  storeEra: 1,
  configurationVersion: 18,
  configurationPosition: { era: 1, offset: 7 },
  configurationAgeMs: 180,
  servers: {
    changes: [],
    revision: 71,
    isComplete: true,
    seenRevision: 70,
    position: { era: 1, offset: 912 },
    ageMs: 210,
  },
  vmCount: 40,
  vmListDigest: 3_214_567_890,
  codec: 1,
  suspicions: { rows: [], revision: 0, seenRevision: 0, isComplete: true },
  serverLimits: [],
  report: {
    evidence: ["226eac569b", "a6fbddb0b4", "55dc0cb305", "81cc0baa05"].map((
      id,
    ) => [`i-${id}`, "success", false]),
    loads: ["226eac569b", "a6fbddb0b4", "55dc0cb305"].map((
      id,
    ) => [`i-${id}`, 2]),
    demand: ["kaje", "muro", "peli", "sanu", "tire"].map((
      team,
      index,
    ) => [team, 1.5 + index]),
  },
};
/** Greatest size of a compressed message, as a share of the plain one. */
const MAX_COMPRESSED_SHARE = 0.35;

describe("encodeMessage", () => {
  it.each([true, false])(
    "is undone by decoding, compressed: %s",
    (isCompressed) => {
      const bytes = encodeMessage(MESSAGE, isCompressed);
      expect(decodeMessage(bytes, isCompressed)).toEqual(MESSAGE);
    },
  );

  it("makes a message between leaders far smaller", () => {
    const plain = encodeMessage(MESSAGE, false).length;
    const share = encodeMessage(MESSAGE, true).length / plain;
    expect(share).toBeLessThan(MAX_COMPRESSED_SHARE);
  });

  it.each([
    { what: "plain text", bytes: Buffer.from("{}") },
    {
      what: "half a message",
      bytes: encodeMessage(MESSAGE, true).subarray(0, 60),
    },
    { what: "nothing", bytes: Buffer.alloc(0) },
  ])("refuses $what as a compressed message", ({ bytes }) => {
    expect(() => decodeMessage(bytes, true)).toThrow();
  });
});
