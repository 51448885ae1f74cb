/** Generates the operators' reference page of log events. */

import type { LogEventDescription } from "./log_event_description.ts";
import { LOG_EVENTS } from "./log_events.ts";

const PAGE_HEADER = `# Log lines

Generated from \`packages/entry/src/fleet/log_events.ts\` by \`npm run docs\`. Each line
is a JSON object with \`timestamp\`, \`level\`, \`message\` (the event) and \`vm\`
besides the fields below. Ages and durations are in milliseconds. How to read
them: [OPERATIONS.md](../OPERATIONS.md).

| event | level | meaning | fields |
| --- | --- | --- | --- |
`;

/**
 * Builds the reference page, with one table row for each log event.
 *
 * @returns the page as Markdown
 */
export function buildEventPage(): string {
  const rows = Object.entries(LOG_EVENTS).map(([name, event]) =>
    buildRow(name, event)
  );
  return `${PAGE_HEADER}${rows.join("\n")}\n`;
}

function buildRow(name: string, event: LogEventDescription): string {
  const fields = Object.entries(event.fields).map(([field, type]) =>
    `\`${field}\` (${type})`
  );
  return `| \`${name}\` | ${event.level} | ${event.meaning} | ${
    fields.join(", ")
  } |`;
}
