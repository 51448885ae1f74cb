/** Chooses the backend server for a request. */

import type { ZoneId } from "@limpetford/domain/ids";

import type { RandomSource } from "../time/random_source.ts";
import type { TrackedServer } from "./tracked_server.ts";
import type { PlacementDemand } from "./placement_demand.ts";

/** Cost of a failure that cannot be repaired by another sending. */
const FINAL_FAILURE_COST = 1;
/** Cost of a failure after which the request is sent again. */
const REPAIRABLE_FAILURE_COST = 0.3;
/** Cost of the bytes that cross to another zone. */
const OTHER_ZONE_COST = 0.04;
/** Cost of the last free slot as against an idle server. */
const LOAD_COST = 0.06;
/** Cost of each multiple of the ordinary service time. */
const SLOWNESS_COST = 0.12;
const WARM_UP_COST = 0.15;
/** Spreads requests over servers of equal cost. */
const JITTER_COST = 0.01;
/** A server without evidence for this long is probed by a repeatable request. */
const PROBE_AFTER_MS = 900;
/** Failure probability up to which any request may be such a probe. */
const SOUND_BELOW_FAILURE = 0.15;
/** Failure probability above which a request rather waits for a better server. */
const WAIT_ABOVE_FAILURE = 0.25;

/** Where and when a choice is made. */
export interface ChoiceContext {
  readonly zone: ZoneId;
  readonly grayShare: number;
  readonly nowMs: number;
  readonly random: RandomSource;
  /** True if a repeatable request may be used as a probe. */
  readonly mayProbe: boolean;
  /** True if the request has time to wait for a better server. */
  readonly mayWait: boolean;
}

/**
 * Chooses a server with a free slot.
 *
 * @param servers - the service's servers
 * @param demand - the request
 * @param context - where and when
 * @returns the server, or undefined if the request waits
 */
export function chooseServer(
  servers: readonly TrackedServer[],
  demand: PlacementDemand,
  context: ChoiceContext,
): TrackedServer | undefined {
  const open = servers.filter((server) =>
    server.isOpen(context.nowMs) &&
    !demand.tried.includes(server.announced.id)
  );
  const free = open.filter((server) => server.hasFreeSlot());
  const mayProbeDoubted = context.mayProbe && demand.isIdempotent &&
    demand.mayRetry;
  const due = findProbeTarget(
    free,
    mayProbeDoubted ? 1 : SOUND_BELOW_FAILURE,
    context,
  );
  if (due !== undefined) {
    return due;
  }
  const best = findCheapest(free, demand, context);
  if (best === undefined || !context.mayWait) {
    return best;
  }
  const failure = best.estimateFailureProbability(
    context.grayShare,
    context.nowMs,
  );
  const isDoubtful = failure > WAIT_ABOVE_FAILURE &&
    !(demand.isIdempotent && demand.mayRetry);
  const hasBetter = open.some((server) =>
    !server.hasFreeSlot() &&
    server.estimateFailureProbability(context.grayShare, context.nowMs) <
      WAIT_ABOVE_FAILURE / 2
  );
  return isDoubtful && hasBetter ? undefined : best;
}

/**
 * Computes the cost of sending a request to a server.
 *
 * @param server - the server
 * @param demand - the request
 * @param context - where and when
 * @returns a number that is comparable between servers
 */
export function computeServerCost(
  server: TrackedServer,
  demand: PlacementDemand,
  context: ChoiceContext,
): number {
  const { grayShare, nowMs, zone } = context;
  const failureCost = demand.isIdempotent && demand.mayRetry
    ? REPAIRABLE_FAILURE_COST
    : FINAL_FAILURE_COST;
  const failure = server.estimateFailureProbability(grayShare, nowMs);
  const slowness = Math.max(0, server.estimateSpeedFactor(nowMs) - 1);
  const loadShare = server.load / server.announced.slots;
  return failure * failureCost +
    Math.min(1, slowness * SLOWNESS_COST) +
    loadShare * LOAD_COST +
    (server.announced.zone === zone ? 0 : OTHER_ZONE_COST) +
    (server.isWarmingUp(nowMs) ? WARM_UP_COST : 0) +
    context.random.sampleUniform() * JITTER_COST;
}

// Every server that seems sound gets a request from time to time, so that its
// share of the work never falls away.
function findProbeTarget(
  free: readonly TrackedServer[],
  mostFailure: number,
  context: ChoiceContext,
): TrackedServer | undefined {
  let oldest: TrackedServer | undefined;
  for (const server of free) {
    const isDue = server.load === 0 &&
      context.nowMs - server.lastEvidenceAtMs > PROBE_AFTER_MS &&
      server.estimateFailureProbability(context.grayShare, context.nowMs) <=
        mostFailure;
    if (
      isDue &&
      server.lastEvidenceAtMs < (oldest?.lastEvidenceAtMs ?? Infinity)
    ) {
      oldest = server;
    }
  }
  return oldest;
}

function findCheapest(
  free: readonly TrackedServer[],
  demand: PlacementDemand,
  context: ChoiceContext,
): TrackedServer | undefined {
  let best: TrackedServer | undefined;
  let bestCost = Infinity;
  for (const server of free) {
    const cost = computeServerCost(server, demand, context);
    if (cost < bestCost) {
      best = server;
      bestCost = cost;
    }
  }
  return best;
}
