/** Consistency checks between rows and between cells of a sheet. */

import { ROUTE_ACCESS } from "../route.ts";
import { formatAddress } from "../vm.ts";
import { SHEET_COLUMN } from "./sheet_column.ts";
import type { SheetError } from "./sheet_error.ts";
import { buildSheetError } from "./sheet_error.ts";
import type { DeclaredNames, NumberedRow } from "./sheet_reader.ts";
import type { SheetRow } from "./sheet_row.ts";

const RESERVED_PATH_PATTERN = /^\/\.limpetford(?:\/|$)/;

/** A cell whose value must be unique within its scope. */
interface UniqueCell {
  readonly column: string;
  readonly text: string;
  /** Two cells with equal scope and text are duplicates. */
  readonly scope: string;
}

/**
 * Finds duplicate names, dangling references and conflicting route settings.
 *
 * @param rows - rows whose cells are valid
 * @param declared - names of services and teams that rows may reference
 * @returns the errors in no particular order
 */
export function findInconsistencies(
  rows: readonly NumberedRow[],
  declared: DeclaredNames,
): readonly SheetError[] {
  return [
    ...findDuplicates(rows),
    ...findDanglingReferences(rows, declared),
    ...rows.flatMap(findRouteConflicts),
  ];
}

function findDuplicates(rows: readonly NumberedRow[]): readonly SheetError[] {
  const firstRows = new Map<string, number>();
  const errors: SheetError[] = [];
  for (const { row, value } of rows) {
    for (const cell of listUniqueCells(value)) {
      const key = JSON.stringify([cell.scope, cell.text]);
      const first = firstRows.get(key);
      if (first === undefined) {
        firstRows.set(key, row);
        continue;
      }
      errors.push(buildSheetError({
        row,
        column: cell.column,
        found: cell.text,
        expected: `a different ${cell.scope} than in row ${first}`,
      }));
    }
  }
  return errors;
}

function listUniqueCells(value: SheetRow): readonly UniqueCell[] {
  const { name, address, path, keyHash } = SHEET_COLUMN;
  switch (value.kind) {
    case "service":
      return [{ column: name, text: value.service.id, scope: "service" }];
    case "server":
      return [
        { column: name, text: value.server.id, scope: "server" },
        {
          column: address,
          text: formatAddress(value.server.address),
          scope: `address of ${value.server.service}`,
        },
      ];
    case "route":
      return [
        { column: name, text: value.route.id, scope: "route" },
        {
          column: path,
          text: `${value.route.method} ${value.route.pathPrefix}`,
          scope: "method and path",
        },
      ];
    case "team":
      return [{ column: name, text: value.team.id, scope: "team" }];
    case "key":
      return [{ column: keyHash, text: value.key.hash, scope: "key" }];
  }
}

function findDanglingReferences(
  rows: readonly NumberedRow[],
  { services, teams }: DeclaredNames,
): readonly SheetError[] {
  const { service, team } = SHEET_COLUMN;
  return rows.flatMap(({ row, value }): readonly SheetError[] => {
    switch (value.kind) {
      case "server":
      case "route": {
        const found = value.kind === "server"
          ? value.server.service
          : value.route.service;
        const expected = "the name of a service in this sheet";
        return services.has(found)
          ? []
          : [buildSheetError({ row, column: service, found, expected })];
      }
      case "key": {
        const found = value.key.team;
        const expected = "the name of a team in this sheet";
        return teams.has(found)
          ? []
          : [buildSheetError({ row, column: team, found, expected })];
      }
      case "service":
      case "team":
        return [];
    }
  });
}

function findRouteConflicts(
  { row, value }: NumberedRow,
): readonly SheetError[] {
  if (value.kind !== "route") {
    return [];
  }
  const { access, derivedKeyWindow, path } = SHEET_COLUMN;
  const { route } = value;
  const errors: SheetError[] = [];
  if (RESERVED_PATH_PATTERN.test(route.pathPrefix)) {
    const expected = "a path outside /.limpetford";
    errors.push({ row, column: path, found: route.pathPrefix, expected });
  }
  if (route.access === ROUTE_ACCESS.open && !route.isIdempotent) {
    const expected = "team, because non-idempotent requests require a team";
    errors.push({ row, column: access, found: route.access, expected });
  }
  if (route.isIdempotent && route.derivedKeyWindowMs > 0) {
    const expected = "0 or an empty cell on an idempotent route";
    const found = String(route.derivedKeyWindowMs);
    errors.push({ row, column: derivedKeyWindow, found, expected });
  }
  return errors;
}
