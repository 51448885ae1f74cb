/**
 * Baseline routing policies that limpetford is compared with. Each VM decides
 * from its own samples alone.
 */

import { selectEjectable } from "@limpetford/core/ejection/floor";
import type { AttemptSample } from "@limpetford/core/evidence/attempt_sample";
import type {
  RetryDecision,
  RetryState,
} from "@limpetford/core/retries/retry_planner";
import type {
  RoutingRequest,
  RoutingVerdict,
} from "@limpetford/core/routing/routing_request";
import type { ServerId } from "@limpetford/domain/ids";
import type { BackendServer } from "@limpetford/domain/service";

import { FleetPolicy, type PolicyEnvironment } from "./fleet_policy.ts";

/** Fixed time for which a server is ejected. */
const EJECTION_MS = 30_000;
/** Attempts per request, the first one included. */
const MAX_ATTEMPTS = 2;
/** Retry-after time sent when no server has a free slot. */
const RETRY_AFTER_MS = 1_000;
/** Failures in a row after which round robin ejects a server. */
const EJECTION_CONSECUTIVE_FAILURES = 5;
/** Samples kept for each server. */
const WINDOW_SAMPLES = 20;
/** Samples needed before a server's window is judged. */
const MIN_SAMPLES = 10;
/** Ejects a server whose p90 exceeds the median p90 by this factor. */
const SLOW_P90_FACTOR = 3;
/** Ejects a server when this share of its window failed. */
const EJECTION_FAILURE_SHARE = 0.5;

/** Load, ejection and recent samples of one server, as one VM sees them. */
export interface LocalServerState {
  readonly server: BackendServer;
  inFlight: number;
  ejectedUntilMs: number;
  consecutiveFailures: number;
  /** Latencies of the last requests in milliseconds; undefined if failed. */
  readonly recentLatenciesMs: (number | undefined)[];
}

/**
 * Routes at each VM independently, without a queue: one retry, and ejection
 * for a fixed time.
 */
export abstract class LocalPolicy extends FleetPolicy {
  protected readonly environment: PolicyEnvironment;
  #states: readonly (readonly LocalServerState[])[];

  /**
   * Starts with every server in rotation.
   *
   * @param environment - servers, VMs and virtual time
   */
  constructor(environment: PolicyEnvironment) {
    super();
    this.environment = environment;
    this.#states = this.#createStates(environment.servers);
  }

  override start(): void {
    // Local policies exchange no messages and send no probes.
  }

  override acquire(
    vm: number,
    request: RoutingRequest,
    deliver: (verdict: RoutingVerdict) => void,
  ): void {
    const excluded = this.listExcluded(vm);
    const usable = (this.#states[vm] ?? []).filter((record) =>
      !excluded.has(record.server.id) &&
      !request.tried.includes(record.server.id) &&
      record.inFlight < record.server.slots
    );
    const chosen = this.choose(vm, usable);
    if (chosen === undefined) {
      deliver({ kind: "overloaded", retryAfterMs: RETRY_AFTER_MS });
      return;
    }
    chosen.inFlight += 1;
    deliver({
      kind: "placed",
      lease: {
        server: chosen.server,
        connectionLimit: chosen.server.slots,
        complete: (sample) => {
          chosen.inFlight -= 1;
          this.#record(chosen, vm, sample);
        },
      },
    });
  }

  override planRetry(_vm: number, state: RetryState): RetryDecision {
    const mayRepeat = state.isIdempotent || state.isCertainlyNotRun;
    return mayRepeat && state.attempts < MAX_ATTEMPTS &&
        state.timeLeftMs > 0
      ? { kind: "retry", delayMs: 0 }
      : { kind: "give-up" };
  }

  override planHedgeMs(): number | undefined {
    return undefined;
  }

  override listExcluded(vm: number): ReadonlySet<ServerId> {
    const nowMs = this.environment.time.readMonotonicMs();
    const records = this.#states[vm] ?? [];
    const ejected = records
      .filter((record) => record.ejectedUntilMs > nowMs)
      .map((record) => record.server.id);
    return selectEjectable(
      records.map((record) => record.server),
      ejected,
      this.environment.service.floor,
    );
  }

  override setServers(servers: readonly BackendServer[]): void {
    const ids = new Set(servers.map((server) => server.id));
    this.#states = this.#states.map((records) =>
      records.filter((record) => ids.has(record.server.id))
    );
  }

  override readDecision(): undefined {
    return undefined;
  }

  override sumProbeCostMs(): number {
    return 0;
  }

  override countControlBytes(): number {
    return 0;
  }

  /**
   * Chooses among the usable servers.
   *
   * @param vm - index of the VM
   * @param usable - untried servers in rotation with a free slot
   * @returns the chosen server, or undefined if none is usable
   */
  protected abstract choose(
    vm: number,
    usable: readonly LocalServerState[],
  ): LocalServerState | undefined;

  /**
   * Decides whether to eject a server after an attempt.
   *
   * @param record - the server of the attempt, its sample included
   * @param others - all servers as the same VM sees them
   * @returns true to eject the server
   */
  protected abstract shouldEject(
    record: LocalServerState,
    others: readonly LocalServerState[],
  ): boolean;

  #createStates(
    servers: readonly BackendServer[],
  ): readonly (readonly LocalServerState[])[] {
    return this.environment.vms.map(() =>
      servers.map((server) => ({
        server,
        inFlight: 0,
        ejectedUntilMs: 0,
        consecutiveFailures: 0,
        recentLatenciesMs: [],
      }))
    );
  }

  #record(record: LocalServerState, vm: number, sample: AttemptSample): void {
    if (sample.outcome === "cancelled" || sample.outcome === "shed") {
      return;
    }
    const isServed = sample.outcome === "served";
    record.consecutiveFailures = isServed ? 0 : record.consecutiveFailures + 1;
    record.recentLatenciesMs.push(isServed ? sample.totalMs : undefined);
    if (record.recentLatenciesMs.length > WINDOW_SAMPLES) {
      record.recentLatenciesMs.shift();
    }
    if (this.shouldEject(record, this.#states[vm] ?? [])) {
      const nowMs = this.environment.time.readMonotonicMs();
      record.ejectedUntilMs = nowMs + EJECTION_MS;
      record.consecutiveFailures = 0;
      record.recentLatenciesMs.length = 0;
    }
  }
}

/** Round robin that ejects a server after five failures in a row. */
export class RoundRobinPolicy extends LocalPolicy {
  override readonly name = "round robin, consecutive failures";
  readonly #nextIndexes = new Map<number, number>();

  protected override choose(
    vm: number,
    usable: readonly LocalServerState[],
  ): LocalServerState | undefined {
    const turn = this.#nextIndexes.get(vm) ?? vm;
    this.#nextIndexes.set(vm, turn + 1);
    return usable[turn % Math.max(1, usable.length)];
  }

  protected override shouldEject(record: LocalServerState): boolean {
    return record.consecutiveFailures >= EJECTION_CONSECUTIVE_FAILURES;
  }
}

/**
 * Least outstanding requests. Ejects a server when half of its window failed or
 * its p90 latency exceeds three times the median p90 of the other servers.
 */
export class LeastOutstandingPolicy extends LocalPolicy {
  override readonly name = "least outstanding, local percentile";

  protected override choose(
    _vm: number,
    usable: readonly LocalServerState[],
  ): LocalServerState | undefined {
    const least = Math.min(...usable.map((record) => record.inFlight));
    const best = usable.filter((record) => record.inFlight === least);
    return best[this.environment.random.pickIndex(Math.max(1, best.length))];
  }

  protected override shouldEject(
    record: LocalServerState,
    others: readonly LocalServerState[],
  ): boolean {
    if (record.recentLatenciesMs.length < MIN_SAMPLES) {
      return false;
    }
    const failures =
      record.recentLatenciesMs.filter((one) => one === undefined).length;
    if (failures >= EJECTION_FAILURE_SHARE * record.recentLatenciesMs.length) {
      return true;
    }
    const otherP90s = others
      .filter((other) =>
        other !== record && other.recentLatenciesMs.length >= MIN_SAMPLES
      )
      .map((other) => computePercentile(other.recentLatenciesMs, 0.9))
      .sort((a, b) => a - b);
    const medianP90 = otherP90s[Math.floor(otherP90s.length / 2)];
    return medianP90 !== undefined &&
      computePercentile(record.recentLatenciesMs, 0.9) >
        SLOW_P90_FACTOR * medianP90;
  }
}

function computePercentile(
  values: readonly (number | undefined)[],
  quantile: number,
): number {
  const known = values
    .filter((value) => value !== undefined)
    .sort((a, b) => a - b);
  return known[Math.floor(quantile * (known.length - 1))] ?? 0;
}
