/** Computes the changes between two configurations. */

import type { Configuration } from "@limpetford/domain/configuration";
import type { ConfigurationChange } from "@limpetford/domain/configuration_record";

type PlainValue =
  | string
  | number
  | boolean
  | { readonly [name: string]: PlainValue };

/** Differences between two lists of records of one kind. */
interface RecordDifference<T> {
  /** Records that are new or changed. */
  readonly put: readonly T[];
  readonly removed: readonly T[];
}

/**
 * Computes the changes that turn one configuration into another. A record is
 * put before the records that refer to it and removed after them, so that after
 * any prefix of the changes no reference is dangling.
 *
 * @param from - configuration in force
 * @param to - desired configuration
 * @returns the changes; empty if both hold equal records
 */
export function computeChanges(
  from: Configuration,
  to: Configuration,
): readonly ConfigurationChange[] {
  const services = compareRecords(from.services, to.services, readId);
  const servers = compareRecords(from.servers, to.servers, readId);
  const routes = compareRecords(from.routes, to.routes, readId);
  const teams = compareRecords(from.teams, to.teams, readId);
  const keys = compareRecords(from.keys, to.keys, (key) => key.hash);
  return [
    ...services.put.map((
      service,
    ) => ({ kind: "put-service", service } as const)),
    ...teams.put.map((team) => ({ kind: "put-team", team } as const)),
    ...servers.put.map((server) => ({ kind: "put-server", server } as const)),
    ...routes.put.map((route) => ({ kind: "put-route", route } as const)),
    ...keys.put.map((key) => ({ kind: "put-key", key } as const)),
    ...keys.removed.map(({ hash }) => ({ kind: "remove-key", hash } as const)),
    ...routes.removed.map(({ id }) => ({ kind: "remove-route", id } as const)),
    ...servers.removed.map((
      { id },
    ) => ({ kind: "remove-server", id } as const)),
    ...teams.removed.map(({ id }) => ({ kind: "remove-team", id } as const)),
    ...services.removed.map(({ id }) => ({
      kind: "remove-service",
      id,
    } as const)),
  ];
}

function readId(record: { readonly id: string }): string {
  return record.id;
}

function compareRecords<T extends object>(
  from: readonly T[],
  to: readonly T[],
  readKey: (record: T) => string,
): RecordDifference<T> {
  const before = new Map(from.map((record) => [readKey(record), record]));
  const after = new Set(to.map(readKey));
  return {
    put: to.filter((record) => {
      const old = before.get(readKey(record));
      return old === undefined ||
        !isEqual(old as PlainValue, record as PlainValue);
    }),
    removed: from.filter((record) => !after.has(readKey(record))),
  };
}

function isEqual(a: PlainValue, b: PlainValue): boolean {
  if (typeof a !== "object" || typeof b !== "object") {
    return a === b;
  }
  const names = Object.keys(a);
  return names.length === Object.keys(b).length &&
    names.every((name) => {
      const [left, right] = [a[name], b[name]];
      return left !== undefined && right !== undefined && isEqual(left, right);
    });
}
