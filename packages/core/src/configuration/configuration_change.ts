/** Applies a proposal's changes to a configuration atomically. */

import type { ConfigurationChange } from "@limpetford/domain/configuration_record";
import type {
  ConfigurationVersion,
  KeyHash,
  RouteId,
  ServerId,
  ServiceId,
  TeamId,
} from "@limpetford/domain/ids";
import { makeError, makeOk, type Result } from "@limpetford/domain/result";
import type { Route } from "@limpetford/domain/route";
import type { BackendServer, Service } from "@limpetford/domain/service";
import type { CallerKey, Team } from "@limpetford/domain/team";

import {
  ConfigurationTables,
  type RecordTables,
} from "./configuration_tables.ts";
import type { TableDraft } from "./versioned_table.ts";

/** Why a proposal's changes cannot be applied to their base configuration. */
export type ChangeError =
  /** A change removes a record that does not exist. */
  | { readonly kind: "not-found"; readonly what: string; readonly id: string }
  /** A record names a service or team that does not exist. */
  | {
    readonly kind: "dangling-reference";
    readonly what: string;
    readonly id: string;
    readonly missing: string;
  }
  /** Two routes match the same method and path prefix. */
  | { readonly kind: "route-conflict"; readonly id: RouteId }
  /** The key has been withdrawn and can never be issued again. */
  | { readonly kind: "key-is-withdrawn"; readonly key: KeyHash };

/** Changes to each table that have not yet taken effect. */
interface Drafts {
  readonly services: TableDraft<ServiceId, Service>;
  readonly servers: TableDraft<ServerId, BackendServer>;
  readonly routes: TableDraft<RouteId, Route>;
  readonly teams: TableDraft<TeamId, Team>;
  readonly keys: TableDraft<KeyHash, CallerKey>;
}

/** Base that a set of changes is applied to. */
export interface ChangeBase {
  readonly configuration: ConfigurationTables;
  readonly withdrawnKeys: ReadonlySet<KeyHash>;
}

/**
 * Applies a proposal's changes. The cost grows with the number of changes and
 * of routes, but not of teams and keys, unless a service or team is removed.
 *
 * @param base - the configuration in force and the withdrawn keys
 * @param changes - changes, in the order in which they are applied
 * @param version - version of the new configuration
 * @returns the new configuration, or the first error found
 */
export function applyChanges(
  base: ChangeBase,
  changes: readonly ConfigurationChange[],
  version: ConfigurationVersion,
): Result<ConfigurationTables, ChangeError> {
  const drafts = beginDrafts(base.configuration.tables);
  for (const change of changes) {
    const error = applyChange(drafts, change, base.withdrawnKeys);
    if (error !== undefined) {
      return makeError(error);
    }
  }
  const tables = completeDrafts(drafts);
  const error = findReferenceError(drafts, tables) ??
    findRouteConflict(drafts, tables);
  return error === undefined
    ? makeOk(new ConfigurationTables(version, tables))
    : makeError(error);
}

function beginDrafts(tables: RecordTables): Drafts {
  return {
    services: tables.services.begin(),
    servers: tables.servers.begin(),
    routes: tables.routes.begin(),
    teams: tables.teams.begin(),
    keys: tables.keys.begin(),
  };
}

function completeDrafts(drafts: Drafts): RecordTables {
  return {
    services: drafts.services.complete(),
    servers: drafts.servers.complete(),
    routes: drafts.routes.complete(),
    teams: drafts.teams.complete(),
    keys: drafts.keys.complete(),
  };
}

function applyChange(
  drafts: Drafts,
  change: ConfigurationChange,
  withdrawnKeys: ReadonlySet<KeyHash>,
): ChangeError | undefined {
  switch (change.kind) {
    case "put-service":
      drafts.services.put(change.service.id, change.service);
      return undefined;
    case "put-server":
      drafts.servers.put(change.server.id, change.server);
      return undefined;
    case "put-route":
      drafts.routes.put(change.route.id, change.route);
      return undefined;
    case "put-team":
      drafts.teams.put(change.team.id, change.team);
      return undefined;
    case "put-key":
      if (withdrawnKeys.has(change.key.hash)) {
        return { kind: "key-is-withdrawn", key: change.key.hash };
      }
      drafts.keys.put(change.key.hash, change.key);
      return undefined;
    case "remove-service":
      return removeRecord(drafts.services, change.id, "service");
    case "remove-server":
      return removeRecord(drafts.servers, change.id, "server");
    case "remove-route":
      return removeRecord(drafts.routes, change.id, "route");
    case "remove-team":
      return removeRecord(drafts.teams, change.id, "team");
    case "remove-key":
      return removeRecord(drafts.keys, change.hash, "key");
  }
}

function removeRecord<Id extends string>(
  draft: TableDraft<Id, unknown>,
  id: Id,
  what: string,
): ChangeError | undefined {
  return draft.remove(id) ? undefined : { kind: "not-found", what, id };
}

function findReferenceError(
  drafts: Drafts,
  tables: RecordTables,
): ChangeError | undefined {
  const isServiceRemoved = drafts.services.hasRemoved();
  const isTeamRemoved = drafts.teams.hasRemoved();
  const servers = isServiceRemoved
    ? tables.servers.list()
    : listPutRecords(drafts.servers);
  for (const server of servers) {
    if (tables.services.find(server.service) === undefined) {
      return describeDangling("server", server.id, server.service);
    }
  }
  const routes = isServiceRemoved
    ? tables.routes.list()
    : listPutRecords(drafts.routes);
  for (const route of routes) {
    if (tables.services.find(route.service) === undefined) {
      return describeDangling("route", route.id, route.service);
    }
  }
  const keys = isTeamRemoved ? tables.keys.list() : listPutRecords(drafts.keys);
  for (const key of keys) {
    if (tables.teams.find(key.team) === undefined) {
      return describeDangling("key", key.hash, key.team);
    }
  }
  return undefined;
}

function listPutRecords<Id extends string, T>(
  draft: TableDraft<Id, T>,
): readonly T[] {
  return draft.listPut().flatMap((id) => draft.find(id) ?? []);
}

function describeDangling(
  what: string,
  id: string,
  missing: string,
): ChangeError {
  return { kind: "dangling-reference", what, id, missing };
}

function findRouteConflict(
  drafts: Drafts,
  tables: RecordTables,
): ChangeError | undefined {
  if (drafts.routes.listPut().length === 0) {
    return undefined;
  }
  const seen = new Set<string>();
  for (const route of tables.routes.list()) {
    const match = `${route.method} ${route.pathPrefix}`;
    if (seen.has(match)) {
      return { kind: "route-conflict", id: route.id };
    }
    seen.add(match);
  }
  return undefined;
}
