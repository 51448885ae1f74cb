/** Validation errors of the operators' sheet. */

/** One validation error and its position in the sheet. */
export interface SheetError {
  /** Row number as in a spreadsheet; the header is row 1. */
  readonly row: number;
  /** Column name; empty if the error concerns the whole row. */
  readonly column: string;
  /** Rejected text, possibly truncated. */
  readonly found: string;
  /** Description of a valid value. */
  readonly expected: string;
}

const MAX_FOUND_CHARACTERS = 60;

/**
 * Truncates the rejected text of an error to 60 characters.
 *
 * @param error - the error with the full text of the cell
 * @returns a copy that fits on a line of output
 */
export function buildSheetError(error: SheetError): SheetError {
  const found = error.found.length > MAX_FOUND_CHARACTERS
    ? `${error.found.slice(0, MAX_FOUND_CHARACTERS)}…`
    : error.found;
  return { ...error, found };
}

/**
 * Sorts errors by row, then by column.
 *
 * @param errors - errors in any order
 * @returns a sorted copy
 */
export function sortSheetErrors(
  errors: readonly SheetError[],
): readonly SheetError[] {
  return [...errors].sort((a, b) =>
    a.row - b.row || a.column.localeCompare(b.column)
  );
}
