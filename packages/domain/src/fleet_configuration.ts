/** The configuration that operators publish on the platform's store. */

import type { HostRoute } from "./host_route.ts";
import type { ServiceId } from "./ids.ts";
import type { CallerKey, Team } from "./team.ts";

/** A team with the rank of its requests. */
export interface PrioritizedTeam extends Team {
  /** Rank that replaces the route's; undefined leaves the route's in force. */
  readonly priority: number | undefined;
}

/** A service as operators declare it. */
export interface DeclaredService {
  readonly id: ServiceId;
  /** Path of the health endpoint. */
  readonly healthPath: string;
  /** Connections that one backend server accepts from all VMs. */
  readonly connections: number;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Everything that is in force together. */
export interface FleetConfiguration {
  /** Rises with each change, in uneven steps. */
  readonly version: number;
  readonly routes: readonly HostRoute[];
  readonly services: readonly DeclaredService[];
  readonly teams: readonly PrioritizedTeam[];
  readonly keys: readonly CallerKey[];
  readonly callerLimits: CallerLimits;
  /** False if the configuration knows no teams, so that no key is asked for. */
  readonly hasTeams: boolean;
}
