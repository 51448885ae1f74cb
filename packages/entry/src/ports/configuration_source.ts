/** Interface of the configuration in force at this VM. */

import type { Configuration } from "@limpetford/domain/configuration";
import type {
  KeyHash,
  RouteId,
  ServerId,
  TeamId,
} from "@limpetford/domain/ids";
import type { Route } from "@limpetford/domain/route";
import type { Team } from "@limpetford/domain/team";

/**
 * Look-ups in the configuration in force. Gossiped facts, such as a withdrawn key
 * or a leaving server, take precedence over it.
 */
export abstract class ConfigurationSource {
  /**
   * Reads the configuration in force.
   *
   * @returns the configuration; undefined until the first one is known
   */
  abstract readConfiguration(): Configuration | undefined;

  /**
   * Finds the team that owns an API key.
   *
   * @param key - hash of the key sent by the caller
   * @returns the team; undefined for an unknown or withdrawn key
   */
  abstract findTeamOfKey(key: KeyHash): TeamId | undefined;

  /**
   * Finds the rate limit and weight of a team.
   *
   * @param team - name of the team
   * @returns the team's record; undefined if the team is not configured
   */
  abstract findTeam(team: TeamId): Team | undefined;

  /**
   * Finds the route of a request by the longest matching path prefix.
   *
   * @param method - HTTP method in upper case
   * @param path - path without query
   * @returns the route; undefined if no prefix matches
   */
  abstract findRoute(method: string, path: string): Route | undefined;

  /**
   * Finds a route by its name.
   *
   * @param route - name of the route
   * @returns the route; undefined if it is not configured
   */
  abstract findRouteById(route: RouteId): Route | undefined;

  /**
   * Checks whether a backend server is leaving.
   *
   * @param server - identifier of the backend server
   * @returns true if it must receive no new requests
   */
  abstract isServerLeaving(server: ServerId): boolean;

  /**
   * Checks whether the configuration is recent enough to serve requests.
   *
   * @returns false before the first configuration, and after this VM has been cut
   *   off from the log and from the fleet for too long
   */
  abstract isInForce(): boolean;

  /**
   * Registers a listener for changes of the configuration in force.
   *
   * @param listener - called after each change
   */
  abstract subscribe(listener: () => void): void;
}
