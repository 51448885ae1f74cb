/** Columns and row kinds of the operators' sheet. */

/** Column names as they appear in the header row. */
export const SHEET_COLUMN = {
  kind: "kind",
  name: "name",
  service: "service",
  zone: "zone",
  address: "address",
  slots: "slots",
  connections: "connections",
  state: "state",
  floor: "floor",
  falseEjections: "false-ejections-per-day",
  healthPath: "health-path",
  method: "method",
  path: "path",
  access: "access",
  repeatable: "repeatable",
  deadline: "deadline-ms",
  bodyLimit: "body-limit-bytes",
  derivedKeyWindow: "derived-key-window-ms",
  team: "team",
  rate: "rate-per-second",
  burst: "burst",
  weight: "weight",
  keyHash: "key-sha256",
} as const;
/** Name of a column of the sheet. */
export type SheetColumn = typeof SHEET_COLUMN[keyof typeof SHEET_COLUMN];

/** All columns in their default order. */
export const SHEET_COLUMNS: readonly SheetColumn[] = Object.values(
  SHEET_COLUMN,
);

/** Kinds of rows; each kind describes one type of record. */
export const ROW_KIND = {
  service: "service",
  server: "server",
  route: "route",
  team: "team",
  key: "key",
} as const;
/** Value of the `kind` column of a row. */
export type RowKind = typeof ROW_KIND[keyof typeof ROW_KIND];

const C = SHEET_COLUMN;

/** Columns that each kind of row uses, in addition to `kind`. */
export const COLUMNS_OF_KIND: Readonly<
  Record<RowKind, readonly SheetColumn[]>
> = {
  service: [C.name, C.floor, C.falseEjections, C.healthPath],
  server: [
    C.name,
    C.service,
    C.zone,
    C.address,
    C.slots,
    C.connections,
    C.state,
  ],
  route: [
    C.name,
    C.service,
    C.method,
    C.path,
    C.access,
    C.repeatable,
    C.deadline,
    C.bodyLimit,
    C.derivedKeyWindow,
  ],
  team: [C.name, C.rate, C.burst, C.weight],
  key: [C.team, C.keyHash],
};

/**
 * Finds the column that a header cell names. Ignores case and treats spaces
 * and underscores as hyphens.
 *
 * @param text - text of the header cell
 * @returns the column, or undefined if there is none of that name
 */
export function findColumn(text: string): SheetColumn | undefined {
  const name = text.trim().toLowerCase().replaceAll(/[\s_]+/g, "-");
  return SHEET_COLUMNS.find((column) => column === name);
}

/**
 * Finds the row kind that a cell names, ignoring case.
 *
 * @param text - text of the `kind` cell
 * @returns the row kind, or undefined if the text names none
 */
export function findRowKind(text: string): RowKind | undefined {
  const name = text.trim().toLowerCase();
  return Object.values(ROW_KIND).find((kind) => kind === name);
}
