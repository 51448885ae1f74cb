/** Chooses the backend server for an attempt by cost. */

import type { ZoneId } from "@limpetford/domain/ids";

import type { RandomSource } from "../time/random_source.ts";
import type { PlacementDemand } from "./placement_demand.ts";
import type { TrackedServer } from "./tracked_server.ts";

// Costs are relative to a failure that cannot be retried, which costs 1.

/** Cost of a failure that cannot be retried. */
const FINAL_FAILURE_COST = 1;
/** Cost of a failure after which the request is retried. */
const RETRYABLE_FAILURE_COST = 0.3;
/** Cost of each kilobyte that a request moves to another zone and back. */
const OTHER_ZONE_COST_PER_KB = 0.03;
/** Greatest such cost, so that large responses still leave a failing zone. */
const MAX_OTHER_ZONE_COST = 0.25;
const BYTES_PER_KB = 1_000;
/** Cost of a fully loaded server; scaled by the share of slots in use. */
const LOAD_COST = 0.06;
/**
 * Cost of each request in flight at a server, for a request that may crash it:
 * the others would be lost with it.
 */
const SHARED_CRASH_COST = 0.2;
/** Cost of each multiple of the expected service time above 1. */
const SLOWNESS_COST = 0.12;
/** Cost of a server that is still warming up. */
const WARM_UP_COST = 0.15;
/** Largest random cost, which spreads requests over servers of equal cost. */
const JITTER_COST = 0.01;
/** Time without an outcome after which an idle server is due for a probe. */
const PROBE_AFTER_MS = 900;
/**
 * The same for a server of another zone, whose own VMs probe it first, if there
 * are requests in that zone.
 */
const OTHER_ZONE_PROBE_AFTER_MS = 1_500;
/**
 * Failure probability up to which any request may serve as a probe. Above it,
 * only requests that can be retried may.
 */
const MAX_PROBE_FAILURE_PROBABILITY = 0.15;
/** Failure probability above which a request waits for a healthier server. */
const WAIT_FAILURE_PROBABILITY = 0.25;

/** Conditions under which a server is chosen. */
export interface ChoiceContext {
  /** Zone of this VM; servers of other zones cost more. */
  readonly zone: ZoneId;
  /** Share of the service's servers in gray failure, 0 to 1. */
  readonly grayShare: number;
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** Source of the jitter between servers of equal cost. */
  readonly random: RandomSource;
  /** True if enough retry tokens are left to probe an unhealthy server. */
  readonly mayProbe: boolean;
  /** True if a retry token is left for a request that is shed. */
  readonly mayRetryShed: boolean;
  /** Bytes that the request is expected to move, response included. */
  readonly expectedBytes: number;
  /** True if the request can wait for a server and still meet its target. */
  readonly mayWait: boolean;
}

/**
 * Chooses a server with a free slot: one that is due for a probe, otherwise the
 * one of the least cost. A request that cannot be retried waits rather than use
 * an unhealthy server while a healthier one has no free slot.
 *
 * @param servers - the service's servers
 * @param demand - route, idempotency and earlier attempts of the request
 * @param context - the conditions of the choice
 * @returns the server, or undefined if the request has to wait
 */
export function chooseServer(
  servers: readonly TrackedServer[],
  demand: PlacementDemand,
  context: ChoiceContext,
): TrackedServer | undefined {
  const open = servers.filter((server) =>
    server.isAvailable(context.nowMs) &&
    !server.isOnTrial() &&
    !demand.tried.includes(server.announced.id)
  );
  const free = listCandidates(
    open.filter((server) => server.hasFreeSlot()),
    demand,
    context,
  );
  const mayProbeUnhealthy = context.mayProbe && demand.isIdempotent &&
    demand.mayRetry;
  const due = findProbeTarget(
    free,
    mayProbeUnhealthy ? 1 : MAX_PROBE_FAILURE_PROBABILITY,
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
  const isUnhealthy = failure > WAIT_FAILURE_PROBABILITY &&
    !(demand.isIdempotent && demand.mayRetry);
  const hasHealthier = open.some((server) =>
    !server.hasFreeSlot() &&
    server.estimateFailureProbability(context.grayShare, context.nowMs) <
      WAIT_FAILURE_PROBABILITY / 2
  );
  return isUnhealthy && hasHealthier ? undefined : best;
}

/**
 * Computes the expected cost of sending a request to a server.
 *
 * @param server - candidate, with its load and failure estimates
 * @param demand - route, idempotency and earlier attempts of the request
 * @param context - the conditions of the choice
 * @returns cost relative to a failure that cannot be retried, which costs 1
 */
export function computeServerCost(
  server: TrackedServer,
  demand: PlacementDemand,
  context: ChoiceContext,
): number {
  const { grayShare, nowMs, zone } = context;
  const failureCost = demand.isIdempotent && demand.mayRetry
    ? RETRYABLE_FAILURE_COST
    : FINAL_FAILURE_COST;
  const failure = server.estimateFailureProbability(grayShare, nowMs);
  const slowness = Math.max(0, server.estimateSpeedFactor(nowMs) - 1);
  const loadShare = server.load / server.announced.slots;
  return failure * failureCost +
    Math.min(1, slowness * SLOWNESS_COST) +
    loadShare * LOAD_COST +
    (demand.isSuspect ? server.load * SHARED_CRASH_COST : 0) +
    (server.announced.zone === zone ? 0 : computeCrossingCost(context)) +
    (server.isWarmingUp(nowMs) ? WARM_UP_COST : 0) +
    context.random.sampleUniform() * JITTER_COST;
}

function computeCrossingCost({ expectedBytes }: ChoiceContext): number {
  return Math.min(
    MAX_OTHER_ZONE_COST,
    expectedBytes / BYTES_PER_KB * OTHER_ZONE_COST_PER_KB,
  );
}

// A server that has shed a request gets one at a time, which can be sent again,
// until it has answered one; unless no other server is free.
function listCandidates(
  free: readonly TrackedServer[],
  demand: PlacementDemand,
  { mayRetryShed, nowMs }: ChoiceContext,
): readonly TrackedServer[] {
  const mayBeShed = mayRetryShed && demand.mayRetry;
  const candidates = free.filter((server) =>
    !server.isUnproven(nowMs) || (mayBeShed && server.ownLoad === 0)
  );
  return candidates.length > 0 ? candidates : free;
}

// Finds the idle server that has been longest without an outcome. Every server
// that seems healthy gets a request from time to time, so that it keeps its
// share of the traffic.
function findProbeTarget(
  free: readonly TrackedServer[],
  maxFailure: number,
  context: ChoiceContext,
): TrackedServer | undefined {
  let oldest: TrackedServer | undefined;
  for (const server of free) {
    const afterMs = server.announced.zone === context.zone
      ? PROBE_AFTER_MS
      : OTHER_ZONE_PROBE_AFTER_MS;
    const isDue = server.load === 0 &&
      context.nowMs - server.lastEvidenceAtMs > afterMs &&
      server.estimateFailureProbability(context.grayShare, context.nowMs) <=
        maxFailure;
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
