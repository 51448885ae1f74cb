/** Reads and filters VM logs from files or standard input. */

import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";

import { type LogLine, parseLogLine } from "./log_line.ts";

/** Conditions that a line must all meet; undefined ones match every line. */
export interface LogFilter {
  readonly request?: string | undefined;
  readonly vm?: string | undefined;
  readonly event?: string | undefined;
  /** Earliest timestamp, compared as ISO 8601 text; may be a prefix. */
  readonly since?: string | undefined;
}

/**
 * Reads the lines that match a filter.
 *
 * @param files - paths of log files; if empty, reads the standard input
 * @param input - standard input stream
 * @param filter - conditions that the lines must meet
 * @returns the matching lines, sorted by timestamp; lines of different VMs may
 * be out of order by the skew of their clocks
 * @throws NodeJS.ErrnoException if a file cannot be read
 */
export async function readLogLines(
  files: readonly string[],
  input: Readable,
  filter: LogFilter,
): Promise<readonly LogLine[]> {
  const streams = files.length === 0
    ? [input]
    : files.map((file) => createReadStream(file));
  const kept: LogLine[] = [];
  for (const stream of streams) {
    for await (const text of createInterface({ input: stream })) {
      const line = parseLogLine(text);
      if (line !== undefined && isSelected(line, filter)) {
        kept.push(line);
      }
    }
  }
  return kept.sort((a, b) => a.timestamp < b.timestamp ? -1 : 1);
}

function isSelected(line: LogLine, filter: LogFilter): boolean {
  return (filter.request === undefined || line.request === filter.request) &&
    (filter.vm === undefined || line.vm === filter.vm) &&
    (filter.event === undefined || line.event === filter.event) &&
    (filter.since === undefined || line.timestamp >= filter.since);
}
