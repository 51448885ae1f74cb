/** The configuration that operators publish in the platform's store. */

import type { HostRoute } from "./host_route.ts";
import type { ServiceId } from "./ids.ts";
import type { CallerKey, Team } from "./team.ts";

/** A team with an optional priority for its requests. */
export interface PrioritizedTeam extends Team {
  /** Overrides the priority of the route; undefined keeps the route's. */
  readonly priority: number | undefined;
}

/** A service as declared in the published configuration. */
export interface DeclaredService {
  readonly id: ServiceId;
  /** URL path of the health check endpoint. */
  readonly healthPath: string;
  /** Maximum connections that one backend server accepts from all VMs. */
  readonly connections: number;
}

/** Size limits and timeouts for requests and connections of callers. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One complete version of the published configuration. */
export interface FleetConfiguration {
  /** Increases with each change, not necessarily by one. */
  readonly version: number;
  readonly routes: readonly HostRoute[];
  readonly services: readonly DeclaredService[];
  readonly teams: readonly PrioritizedTeam[];
  readonly keys: readonly CallerKey[];
  readonly callerLimits: CallerLimits;
  /** False if no teams are configured; requests then need no API key. */
  readonly hasTeams: boolean;
}
