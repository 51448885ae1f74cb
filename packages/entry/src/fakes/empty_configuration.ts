/** A fleet configuration without content, for tests. */

import type { FleetConfiguration } from "@limpetford/domain/fleet_configuration";

/**
 * Builds a configuration without routes, services, teams and keys.
 *
 * @param version - version of the configuration
 * @returns the configuration
 */
export function buildEmptyConfiguration(version: number): FleetConfiguration {
  return {
    version,
    routes: [],
    services: [],
    teams: [],
    keys: [],
    callerLimits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    hasTeams: true,
  };
}
