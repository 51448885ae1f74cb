/** Parses and formats JSON lines of VM logs. */

/** One log line with its common fields extracted. */
export interface LogLine {
  readonly vm: string;
  /** Wall-clock time of the VM, as logged; empty if missing. */
  readonly timestamp: string;
  readonly level: string;
  /** Event name, logged as `message`. */
  readonly event: string;
  /** Identifier of the request; empty if the line concerns none. */
  readonly request: string;
  /** All fields that have no property of their own here. */
  readonly fields: Readonly<Record<string, unknown>>;
}

const KNOWN_FIELDS: ReadonlySet<string> = new Set([
  "vm",
  "timestamp",
  "level",
  "message",
  "request",
]);

/**
 * Parses a log line. Ignores text before the JSON object, because log
 * collectors may add a prefix.
 *
 * @param text - raw text of the line
 * @returns the parsed line, or undefined if it is not a log line of a VM
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) {
    return undefined;
  }
  let document: unknown;
  try {
    document = JSON.parse(text.slice(start));
  } catch {
    // The line is truncated or was written by another program.
    return undefined;
  }
  if (typeof document !== "object" || document === null) {
    return undefined;
  }
  const fields = document as Readonly<Record<string, unknown>>;
  const { vm, timestamp, level, message, request } = fields;
  if (typeof vm !== "string" || typeof message !== "string") {
    return undefined;
  }
  return {
    vm,
    timestamp: typeof timestamp === "string" ? timestamp : "",
    level: typeof level === "string" ? level : "",
    event: message,
    request: typeof request === "string" ? request : "",
    fields: Object.fromEntries(
      Object.entries(fields).filter(([name]) => !KNOWN_FIELDS.has(name)),
    ),
  };
}

/**
 * Formats the additional fields of a line for display.
 *
 * @param line - parsed log line
 * @returns `name=value` pairs sorted by name
 */
export function formatFields(line: LogLine): string {
  return Object.entries(line.fields)
    .sort(([a], [b]) => a < b ? -1 : 1)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(" ");
}
