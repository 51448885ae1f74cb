/** Indexes of a configuration for the look-ups made for each request. */

import type { Configuration } from "@limpetford/domain/configuration";
import type {
  KeyHash,
  RouteId,
  ServerId,
  TeamId,
} from "@limpetford/domain/ids";
import type { Route } from "@limpetford/domain/route";
import { SERVER_STATE } from "@limpetford/domain/service";
import type { Team } from "@limpetford/domain/team";

import {
  ConfigurationTables,
  type RecordTables,
} from "./configuration_tables.ts";
import { RouteIndex } from "./route_index.ts";

/**
 * Finds records of one version of the configuration. Immutable; each new
 * version gets a new index.
 */
export class ConfigurationIndex {
  readonly #tables: RecordTables;
  readonly #routeIndex: RouteIndex;

  /**
   * Builds the indexes.
   *
   * @param configuration - configuration to index
   * @param previous - index of an earlier version, whose route index is reused
   * if the routes have not changed
   */
  constructor(configuration: Configuration, previous?: ConfigurationIndex) {
    this.#tables = ConfigurationTables.load(configuration).tables;
    const { routes } = this.#tables;
    this.#routeIndex =
      previous !== undefined && previous.#tables.routes === routes
        ? previous.#routeIndex
        : new RouteIndex(routes.list());
  }

  /**
   * Finds the team of a caller's key.
   *
   * @param key - hash of the key
   * @returns name of the team; undefined if the key is unknown
   */
  findTeamOfKey(key: KeyHash): TeamId | undefined {
    return this.#tables.keys.find(key)?.team;
  }

  /**
   * Finds a team's record.
   *
   * @param team - name of the team
   * @returns the record; undefined if the team does not exist
   */
  findTeam(team: TeamId): Team | undefined {
    return this.#tables.teams.find(team);
  }

  /**
   * Finds a route's record.
   *
   * @param route - name of the route
   * @returns the record; undefined if the route does not exist
   */
  findRouteById(route: RouteId): Route | undefined {
    return this.#tables.routes.find(route);
  }

  /**
   * Finds the route of a request: the longest matching path prefix wins, and
   * for equal prefixes the exact method wins over the wildcard.
   *
   * @param method - HTTP method in upper case
   * @param path - path without query
   * @returns the route; undefined if none matches
   */
  findRoute(method: string, path: string): Route | undefined {
    return this.#routeIndex.findRoute(method, path);
  }

  /**
   * Checks whether the operators have marked a backend server as leaving.
   *
   * @param server - name of the server
   * @returns true if it is not active or unknown
   */
  isServerLeaving(server: ServerId): boolean {
    return this.#tables.servers.find(server)?.state !== SERVER_STATE.active;
  }
}
