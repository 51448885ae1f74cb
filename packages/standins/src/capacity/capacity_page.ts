/** Renders the generated tables of docs/CAPACITY.md. */

import type { CapacityRow } from "./capacity_row.ts";

const BEGIN_MARKER = "<!-- generated tables: begin -->";
const END_MARKER = "<!-- generated tables: end -->";

/**
 * Replaces the part of the page between the two markers.
 *
 * @param page - current text of the page
 * @param rows - measured rows, in the order of the tables
 * @returns text of the page with new tables, one per role
 * @throws Error if a marker is missing or the two are in the wrong order
 */
export function renderPage(page: string, rows: readonly CapacityRow[]): string {
  const begin = page.indexOf(BEGIN_MARKER);
  const end = page.indexOf(END_MARKER);
  if (begin < 0 || end < begin) {
    throw new Error(
      `The page needs the lines "${BEGIN_MARKER}" and "${END_MARKER}", in order.`,
    );
  }
  const head = page.slice(0, begin + BEGIN_MARKER.length);
  return `${head}\n\n${renderTables(rows)}\n${page.slice(end)}`;
}

function renderTables(rows: readonly CapacityRow[]): string {
  const roles = [...new Set(rows.map((row) => row.role))];
  return roles
    .map((role) => renderTable(role, rows.filter((row) => row.role === role)))
    .join("\n");
}

function renderTable(role: string, rows: readonly CapacityRow[]): string {
  const lines = rows.map((row) => renderRow(row));
  return [
    `### ${role}`,
    "",
    "| line of the JSON | resource | slope | fit | at the size to come | limit | ratio | mechanism |",
    "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ...lines,
    "",
  ].join("\n");
}

function renderRow(row: CapacityRow): string {
  const slope = `${
    formatNumber(row.fit.slope)
  } ${row.unit} per ${row.sizeUnit}`;
  const atTarget = `${formatNumber(row.atTarget)} ${row.unit} at ${
    formatNumber(row.targetSize)
  } ${row.sizeUnit}`;
  const limit = row.limit === undefined
    ? "none stated"
    : `${formatNumber(row.limit)} ${row.unit}`;
  const ratio = row.ratio === undefined ? "" : formatNumber(row.ratio);
  const fit = `r² ${row.fit.rSquared.toFixed(3)}`;
  return `| \`${row.id}\` | ${row.resource} | ${slope} | ${fit} | ${atTarget} | ${limit} | ${ratio} | ${row.mechanism} |`;
}

/**
 * Formats a number with three significant digits and thousands separators.
 *
 * @param value - number to format
 * @returns text such as "1,230" or "0.0123"
 */
export function formatNumber(value: number): string {
  if (value === 0) {
    return "0";
  }
  const rounded = Number(value.toPrecision(3));
  return rounded.toLocaleString("en-US", { maximumSignificantDigits: 3 });
}
