/** Guards against unsorted lines and failures on prefixed or truncated ones. */

import { Readable } from "node:stream";

import { formatFields, parseLogLine } from "./log_line.ts";
import { readLogLines } from "./log_reader.ts";

function buildLine(
  time: string,
  fields: Readonly<Record<string, unknown>>,
): string {
  const timestamp = `2026-12-03T10:00:${time}Z`;
  return JSON.stringify({ timestamp, level: "info", ...fields });
}

const LOG = [
  buildLine("02.000", {
    vm: "b",
    message: "attempt-ended",
    request: "r1",
    server: "i-1",
  }),
  `  2.1 b ${
    buildLine("01.000", { vm: "b", message: "request-placed", request: "r1" })
  }`,
  buildLine("00.500", { vm: "a", message: "request-placed", request: "r2" }),
  buildLine("03.000", { vm: "a", message: "lead-changed", lead: "b" }),
  "not a line",
  '{"cut":',
  '"text"',
].join("\n");

describe("readLogLines", () => {
  const cases = [
    [{ request: "r1" }, ["request-placed", "attempt-ended"]],
    [{ vm: "a" }, ["request-placed", "lead-changed"]],
    [{ event: "lead-changed" }, ["lead-changed"]],
    [{ since: "2026-12-03T10:00:02" }, ["attempt-ended", "lead-changed"]],
    [{ request: "r3" }, []],
  ] as const;
  it.each(cases)(
    "returns the lines that match %j, sorted by time",
    async (filter, events) => {
      const lines = await readLogLines([], Readable.from([LOG]), filter);
      expect(lines.map(({ event }) => event)).toEqual(events);
    },
  );

  it("formats fields sorted by name", () => {
    const line = parseLogLine(
      buildLine("00", { vm: "a", message: "x", b: 1, a: "2" }),
    );
    expect(line && formatFields(line)).toBe("a=2 b=1");
  });
});
