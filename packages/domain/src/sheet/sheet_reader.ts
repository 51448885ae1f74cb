/** Parses and validates the rows of a sheet one by one. */

import type { Result } from "../result.ts";
import { makeError, makeOk } from "../result.ts";
import type { RowKind, SheetColumn } from "./sheet_column.ts";
import {
  COLUMNS_OF_KIND,
  findColumn,
  findRowKind,
  ROW_KIND,
  SHEET_COLUMN,
} from "./sheet_column.ts";
import type { SheetError } from "./sheet_error.ts";
import { buildSheetError } from "./sheet_error.ts";
import type { SheetRow } from "./sheet_row.ts";
import { ROW_SCHEMAS } from "./sheet_row.ts";

/** A valid row and its row number. */
export interface NumberedRow {
  readonly row: number;
  readonly value: SheetRow;
}

/** Valid rows of a sheet, errors of the others, and declared names. */
export interface ParsedRows {
  readonly rows: readonly NumberedRow[];
  readonly errors: readonly SheetError[];
  readonly declared: DeclaredNames;
}

/**
 * Names that service and team rows declare. Rows with errors count, so that
 * references to them are not reported as dangling as well.
 */
export interface DeclaredNames {
  readonly services: ReadonlySet<string>;
  readonly teams: ReadonlySet<string>;
}

type Header = ReadonlyMap<SheetColumn, number>;

interface RawRow {
  readonly row: number;
  readonly cells: readonly string[];
  readonly header: Header;
}

/** Row number of the header; data rows start at the next one. */
const HEADER_ROW = 1;

/**
 * Parses the header and all rows. Skips empty rows.
 *
 * @param table - text of all cells; the first row is the header
 * @returns the valid rows, and the errors of the others; no rows if the header
 * is invalid
 */
export function readRows(table: readonly (readonly string[])[]): ParsedRows {
  const header = readHeader(table[0] ?? []);
  if (!header.ok) {
    const declared = { services: new Set<string>(), teams: new Set<string>() };
    return { rows: [], errors: header.error, declared };
  }
  const rows: NumberedRow[] = [];
  const errors: SheetError[] = [];
  const services = new Set<string>();
  const teams = new Set<string>();
  table.slice(1).forEach((cells, index) => {
    if (cells.every((cell) => cell.trim() === "")) {
      return;
    }
    const row = index + HEADER_ROW + 1;
    const rawRow = { row, cells, header: header.value };
    const name = readCell(rawRow, SHEET_COLUMN.name).trim();
    const kind = findRowKind(readCell(rawRow, SHEET_COLUMN.kind));
    if (kind === ROW_KIND.service) {
      services.add(name);
    } else if (kind === ROW_KIND.team) {
      teams.add(name);
    }
    const result = readRow(rawRow);
    if (result.ok) {
      rows.push({ row, value: result.value });
    } else {
      errors.push(...result.error);
    }
  });
  return { rows, errors, declared: { services, teams } };
}

function readHeader(
  cells: readonly string[],
): Result<Header, readonly SheetError[]> {
  const header = new Map<SheetColumn, number>();
  const errors: SheetError[] = [];
  cells.forEach((text, index) => {
    const column = findColumn(text);
    const isEmptyCell = text.trim() === "";
    if (column === undefined && !isEmptyCell) {
      errors.push(buildHeaderError(text, "a column name"));
    } else if (column !== undefined && header.has(column)) {
      errors.push(buildHeaderError(text, "each column name only once"));
    } else if (column !== undefined) {
      header.set(column, index);
    }
  });
  if (!header.has(SHEET_COLUMN.kind)) {
    errors.push({
      row: HEADER_ROW,
      column: SHEET_COLUMN.kind,
      found: "",
      expected: "a header row with a column of this name",
    });
  }
  return errors.length === 0 ? makeOk(header) : makeError(errors);
}

function buildHeaderError(text: string, expected: string): SheetError {
  return buildSheetError({
    row: HEADER_ROW,
    column: text,
    found: text,
    expected,
  });
}

function readRow(
  rawRow: RawRow,
): Result<SheetRow, readonly SheetError[]> {
  const kindText = readCell(rawRow, SHEET_COLUMN.kind);
  const kind = findRowKind(kindText);
  if (kind === undefined) {
    return makeError([buildSheetError({
      row: rawRow.row,
      column: SHEET_COLUMN.kind,
      found: kindText,
      expected: Object.values(ROW_KIND).join(" or "),
    })]);
  }
  const errors = findUnexpectedCells(rawRow, kind);
  const input = Object.fromEntries(
    COLUMNS_OF_KIND[kind].map((column) => [column, readCell(rawRow, column)]),
  );
  const parsed = ROW_SCHEMAS[kind].safeParse(input);
  if (parsed.success) {
    return errors.length === 0 ? makeOk(parsed.data) : makeError(errors);
  }
  const invalidCells = parsed.error.issues.map((issue) => {
    const column = String(issue.path[0] ?? "");
    return buildSheetError({
      row: rawRow.row,
      column,
      found: input[column] ?? "",
      expected: issue.message,
    });
  });
  return makeError([...errors, ...invalidCells]);
}

function findUnexpectedCells(
  rawRow: RawRow,
  kind: RowKind,
): readonly SheetError[] {
  const used = new Set<SheetColumn>([
    SHEET_COLUMN.kind,
    ...COLUMNS_OF_KIND[kind],
  ]);
  const expected = `an empty cell in a row of kind ${kind}`;
  const inNamedColumns = [...rawRow.header.keys()]
    .filter((column) => !used.has(column))
    .map((column) => ({ column, found: readCell(rawRow, column) }));
  const indexes = new Set(rawRow.header.values());
  const inUnnamedColumns = rawRow.cells
    .map((found, index) => ({ column: `number ${index + 1}`, found, index }))
    .filter(({ index }) => !indexes.has(index));
  return [...inNamedColumns, ...inUnnamedColumns]
    .filter(({ found }) => found.trim() !== "")
    .map(({ column, found }) =>
      buildSheetError({ row: rawRow.row, column, found, expected })
    );
}

function readCell(rawRow: RawRow, column: SheetColumn): string {
  const index = rawRow.header.get(column);
  return index === undefined ? "" : rawRow.cells[index] ?? "";
}
