/**
 * Finds servers that get no requests because of what is believed of them. Old
 * failures must not keep sound servers out while the others fail requests too:
 * without requests, nobody would learn that they are well again.
 */

import type { ZoneId } from "@limpetford/domain/ids";

import type { PlacementDemand } from "./placement_demand.ts";
import type { TrackedServer } from "./tracked_server.ts";

/** Share of unserved requests from which servers must not be neglected. */
const MIN_UNSERVED_SHARE = 0.07;
/** Time without a request after which a server of this zone is neglected. */
const NEGLECTED_AFTER_MS = 1_000;
/** The same in another zone, whose own VMs come first. */
const OTHER_ZONE_NEGLECTED_AFTER_MS = 1_500;
/** Share of the servers that is used beyond the minimum. */
const SHARE_MARGIN = 0.1;

/** What a choice among neglected servers depends on. */
export interface NeglectContext {
  /** Zone of this VM. */
  readonly zone: ZoneId;
  /** Least share of the sound servers that must get requests. */
  readonly minimumShare: number;
  /** Share of the service's requests that is not served, 0 to 1. */
  readonly unservedShare: number;
  /** Share of the service's servers in gray failure, 0 to 1. */
  readonly grayShare: number;
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
}

/**
 * Finds the server that a request should go to although others seem better.
 *
 * @param servers - the service's servers
 * @param demand - the request
 * @param context - conditions of the choice
 * @returns the neglected server that is likeliest to be well; undefined while
 * few requests fail or enough servers get requests
 */
export function findNeglectedServer(
  servers: readonly TrackedServer[],
  demand: PlacementDemand,
  context: NeglectContext,
): TrackedServer | undefined {
  const { nowMs, grayShare, minimumShare, unservedShare } = context;
  if (unservedShare < MIN_UNSERVED_SHARE || demand.isSuspect) {
    return undefined;
  }
  const available = servers.filter((server) => server.isAvailable(nowMs));
  const neglected = available.filter((server) => isNeglected(server, context));
  const maxNeglected = available.length * (1 - minimumShare - SHARE_MARGIN);
  if (neglected.length <= maxNeglected) {
    return undefined;
  }
  let best: TrackedServer | undefined;
  let bestFailure = Infinity;
  for (const server of neglected) {
    const failure = server.estimateFailureProbability(grayShare, nowMs);
    if (mayTake(server, demand, nowMs) && failure < bestFailure) {
      best = server;
      bestFailure = failure;
    }
  }
  return best;
}

// A server that has just turned requests away may do so again, so that only a
// request which can be sent elsewhere tries it.
function mayTake(
  server: TrackedServer,
  { tried, mayRetry }: PlacementDemand,
  nowMs: number,
): boolean {
  return server.hasFreeSlot() && !server.isOnTrial() &&
    (mayRetry || !server.isUnproven(nowMs)) &&
    !tried.includes(server.announced.id);
}

function isNeglected(
  server: TrackedServer,
  { zone, nowMs }: NeglectContext,
): boolean {
  const afterMs = server.announced.zone === zone
    ? NEGLECTED_AFTER_MS
    : OTHER_ZONE_NEGLECTED_AFTER_MS;
  return server.load === 0 && nowMs - server.lastUsedAtMs > afterMs;
}
