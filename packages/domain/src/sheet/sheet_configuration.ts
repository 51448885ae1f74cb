/** Builds a configuration from the cells of the operators' sheet. */

import type { Configuration } from "../configuration.ts";
import type { ConfigurationVersion } from "../ids.ts";
import type { Result } from "../result.ts";
import { makeError, makeOk } from "../result.ts";
import { SHEET_COLUMN } from "./sheet_column.ts";
import { findInconsistencies } from "./sheet_consistency.ts";
import type { SheetError } from "./sheet_error.ts";
import { sortSheetErrors } from "./sheet_error.ts";
import { readRows } from "./sheet_reader.ts";

/**
 * Validates a sheet and builds the configuration that it describes.
 *
 * @param table - text of all cells; the first row is the header
 * @param version - version number to assign to the configuration
 * @returns the configuration, or all errors ordered by row and column
 */
export function buildConfiguration(
  table: readonly (readonly string[])[],
  version: ConfigurationVersion,
): Result<Configuration, readonly SheetError[]> {
  const { rows, errors, declared } = readRows(table);
  const all = [...errors, ...findInconsistencies(rows, declared)];
  if (all.length === 0 && rows.length === 0) {
    all.push({
      row: 2,
      column: SHEET_COLUMN.kind,
      found: "",
      expected: "at least one row below the header",
    });
  }
  if (all.length > 0) {
    return makeError(sortSheetErrors(all));
  }
  const values = rows.map((row) => row.value);
  return makeOk({
    version,
    services: values.flatMap((value) =>
      value.kind === "service" ? [value.service] : []
    ),
    servers: values.flatMap((value) =>
      value.kind === "server" ? [value.server] : []
    ),
    routes: values.flatMap((value) =>
      value.kind === "route" ? [value.route] : []
    ),
    teams: values.flatMap((value) => value.kind === "team" ? [value.team] : []),
    keys: values.flatMap((value) => value.kind === "key" ? [value.key] : []),
  });
}
