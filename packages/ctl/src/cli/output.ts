/** Renders command output as a table or as JSON. */

import Table from "cli-table3";

/** Header and rows of a table; each row has one cell per column. */
export interface OutputTable {
  readonly head: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

/** Result of a command for both output formats. */
export interface CommandOutput {
  /** Value that is printed with `--json`. */
  readonly document: unknown;
  /** Lines printed before the table. */
  readonly lines?: readonly string[];
  readonly table?: OutputTable;
}

/**
 * Renders the result of a command.
 *
 * @param output - result to render
 * @param isJson - true to render JSON instead of lines and a table
 * @returns text that ends with a line feed; empty if there is nothing to print
 */
export function renderOutput(output: CommandOutput, isJson: boolean): string {
  if (isJson) {
    return `${JSON.stringify(output.document, undefined, 2)}\n`;
  }
  const lines = [...output.lines ?? []];
  if (output.table !== undefined && output.table.rows.length > 0) {
    lines.push(renderTable(output.table));
  }
  return lines.length === 0 ? "" : `${lines.join("\n")}\n`;
}

function renderTable(content: OutputTable): string {
  const table = new Table({
    head: [...content.head],
    style: { head: [], border: [], compact: true },
  });
  table.push(...content.rows.map((row) => [...row]));
  return table.toString();
}
