/** Tables of a configuration's records, keyed by name. */

import type { Configuration } from "@limpetford/domain/configuration";
import type {
  ConfigurationVersion,
  KeyHash,
  RouteId,
  ServerId,
  ServiceId,
  TeamId,
} from "@limpetford/domain/ids";
import type { Route } from "@limpetford/domain/route";
import type { BackendServer, Service } from "@limpetford/domain/service";
import type { CallerKey, Team } from "@limpetford/domain/team";

import { VersionedTable } from "./versioned_table.ts";

/** A table for each kind of record. */
export interface RecordTables {
  readonly services: VersionedTable<ServiceId, Service>;
  readonly servers: VersionedTable<ServerId, BackendServer>;
  readonly routes: VersionedTable<RouteId, Route>;
  readonly teams: VersionedTable<TeamId, Team>;
  readonly keys: VersionedTable<KeyHash, CallerKey>;
}

/**
 * One version of the configuration. Versions share their unchanged records.
 */
export class ConfigurationTables implements Configuration {
  readonly version: ConfigurationVersion;
  readonly tables: RecordTables;

  /**
   * Creates a version.
   *
   * @param version - version number
   * @param tables - records of the version
   */
  constructor(version: ConfigurationVersion, tables: RecordTables) {
    this.version = version;
    this.tables = tables;
  }

  /**
   * Converts a configuration to tables.
   *
   * @param configuration - configuration to convert
   * @returns tables of the same records; the argument itself if it already is
   * an instance of this class
   */
  static load(configuration: Configuration): ConfigurationTables {
    if (configuration instanceof ConfigurationTables) {
      return configuration;
    }
    return new ConfigurationTables(configuration.version, {
      services: buildTable(configuration.services, (record) => record.id),
      servers: buildTable(configuration.servers, (record) => record.id),
      routes: buildTable(configuration.routes, (record) => record.id),
      teams: buildTable(configuration.teams, (record) => record.id),
      keys: buildTable(configuration.keys, (record) => record.hash),
    });
  }

  /**
   * Services of this version.
   *
   * @returns the records, the same array at each call
   */
  get services(): readonly Service[] {
    return this.tables.services.list();
  }

  /**
   * Backend servers of this version.
   *
   * @returns the records, the same array at each call
   */
  get servers(): readonly BackendServer[] {
    return this.tables.servers.list();
  }

  /**
   * Routes of this version.
   *
   * @returns the records, the same array at each call
   */
  get routes(): readonly Route[] {
    return this.tables.routes.list();
  }

  /**
   * Teams of this version.
   *
   * @returns the records, the same array at each call
   */
  get teams(): readonly Team[] {
    return this.tables.teams.list();
  }

  /**
   * Callers' keys of this version.
   *
   * @returns the records, the same array at each call
   */
  get keys(): readonly CallerKey[] {
    return this.tables.keys.list();
  }

  /**
   * Converts this version to a plain object that can be encoded.
   *
   * @returns the version number and all records
   */
  toConfiguration(): Configuration {
    const { version, services, servers, routes, teams, keys } = this;
    return { version, services, servers, routes, teams, keys };
  }
}

function buildTable<Id extends string, T>(
  records: readonly T[],
  getId: (record: T) => Id,
): VersionedTable<Id, T> {
  return new VersionedTable(
    new Map(records.map((record) => [getId(record), record])),
  );
}
