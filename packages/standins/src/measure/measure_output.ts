/** Formats the results of a measurement and writes them to a file. */

import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const OUTPUT_DIRECTORY = "out";

/** A table of formatted values. */
export interface FigureTable {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

/**
 * Formats a table as Markdown.
 *
 * @param table - title, column headings and cells
 * @returns the title as a heading, then the table
 */
export function formatTable(table: FigureTable): string {
  return [
    `### ${table.title}`,
    "",
    formatRow(table.columns),
    formatRow(table.columns.map(() => "---")),
    ...table.rows.map(formatRow),
    "",
  ].join("\n");
}

/**
 * Writes results to a JSON file in the folder `out`.
 *
 * @param name - name of the file without its extension
 * @param figures - results that JSON can represent
 * @returns path of the file, relative to the working directory
 */
export function writeFigures(name: string, figures: unknown): string {
  mkdirSync(OUTPUT_DIRECTORY, { recursive: true });
  const path = join(OUTPUT_DIRECTORY, `${name}.json`);
  writeFileSync(path, `${JSON.stringify(figures, undefined, 2)}\n`);
  return path;
}

function formatRow(cells: readonly string[]): string {
  return `| ${cells.join(" | ")} |`;
}
