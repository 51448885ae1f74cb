/** Status of a router for operators, in a form that JSON can represent. */

import type { ServerId, VmId } from "@limpetford/domain/ids";

import type { ServerDecision } from "../ejection/ejection_decision.ts";
import type { ServerPool } from "./server_pool.ts";

/** One VM's use of one server. */
export interface ServerUseStatus {
  readonly server: ServerId;
  /** Requests of this VM that the server is running. */
  readonly inFlight: number;
  /** Slots that this VM uses before any others. */
  readonly homeSlots: number;
  /** Moving average of failures per request, from 0 to 1. */
  readonly failureShare: number;
  /** The holder's decision on the server; undefined if there is none. */
  readonly decision: ServerDecision | undefined;
  /** True if this VM avoids the server because of its own failed attempts. */
  readonly isAvoidedHere: boolean;
  /**
   * True if this VM sends no ordinary requests to the server. A server that is
   * ejected or avoided stays in use if the service's floor requires it.
   */
  readonly isLeftOut: boolean;
}

/** Status of one service's router at one VM. */
export interface RouterStatus {
  readonly vm: VmId;
  /** Epoch of the holder whose decision is in force. */
  readonly epoch: number | undefined;
  /** Revision of that decision within the epoch. */
  readonly revision: number | undefined;
  readonly servers: readonly ServerUseStatus[];
  /** Requests that wait for a slot. */
  readonly waiting: number;
  /** Fingerprints of quarantined requests. */
  readonly quarantined: readonly string[];
}

/**
 * Builds the status of a router.
 *
 * @param parts - the router's servers, avoided servers, queue and quarantines
 * @returns the status at this moment
 */
export function buildRouterStatus(parts: {
  readonly vm: VmId;
  readonly pool: ServerPool;
  readonly avoided: readonly ServerId[];
  readonly waiting: number;
  readonly quarantined: readonly string[];
}): RouterStatus {
  const decision = parts.pool.readDecision();
  const leftOut = parts.pool.listLeftOut();
  return {
    vm: parts.vm,
    epoch: decision?.epoch,
    revision: decision?.revision,
    servers: parts.pool.listLoads().map((load) => ({
      server: load.server.id,
      inFlight: load.countInFlight(),
      homeSlots: load.homeSlots,
      failureShare: load.readFailures(),
      decision: decision?.servers.find((entry) =>
        entry.server === load.server.id
      ),
      isAvoidedHere: parts.avoided.includes(load.server.id),
      isLeftOut: leftOut.has(load.server.id),
    })),
    waiting: parts.waiting,
    quarantined: parts.quarantined,
  };
}
