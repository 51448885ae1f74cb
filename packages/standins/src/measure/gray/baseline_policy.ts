/** Two usual ways of routing, each VM on its own evidence alone. */

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

import { FleetPolicy, type PolicyWorld } from "./fleet_policy.ts";

const EJECTION_MS = 30_000;
const MAX_ATTEMPTS = 2;
const RETRY_AFTER_MS = 1_000;
const CONSECUTIVE_FAILURES = 5;
const WINDOW_SIZE = 20;
const LEAST_SAMPLES = 10;
const SLOW_FACTOR = 3;
const FAILURE_SHARE = 0.5;

/** What one VM knows of one server. */
export interface LocalRecord {
  readonly server: BackendServer;
  inFlight: number;
  ejectedUntilMs: number;
  failuresInARow: number;
  /** Latencies of the last requests; undefined for a failure. */
  readonly recent: (number | undefined)[];
}

/**
 * Routes at each VM by itself: no queue, one retry, ejection for a fixed time.
 */
export abstract class LocalPolicy extends FleetPolicy {
  protected readonly world: PolicyWorld;
  #records: readonly (readonly LocalRecord[])[];

  /**
   * Starts with all servers in use.
   *
   * @param world - servers, VMs and time
   */
  constructor(world: PolicyWorld) {
    super();
    this.world = world;
    this.#records = this.#createRecords(world.servers);
  }

  override start(): void {
    // No background work.
  }

  override acquire(
    vm: number,
    request: RoutingRequest,
    deliver: (verdict: RoutingVerdict) => void,
  ): void {
    const leftOut = this.listLeftOut(vm);
    const usable = (this.#records[vm] ?? []).filter((record) =>
      !leftOut.has(record.server.id) &&
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

  override planRetry(_vm: number, question: RetryState): RetryDecision {
    const mayRepeat = question.isIdempotent || question.isCertainlyNotRun;
    return mayRepeat && question.attempts < MAX_ATTEMPTS &&
        question.timeLeftMs > 0
      ? { kind: "retry", delayMs: 0 }
      : { kind: "give-up" };
  }

  override planHedgeMs(): number | undefined {
    return undefined;
  }

  override listLeftOut(vm: number): ReadonlySet<ServerId> {
    const nowMs = this.world.time.readMonotonicMs();
    const records = this.#records[vm] ?? [];
    const ejected = records
      .filter((record) => record.ejectedUntilMs > nowMs)
      .map((record) => record.server.id);
    return selectEjectable(
      records.map((record) => record.server),
      ejected,
      this.world.service.floor,
    );
  }

  override setServers(servers: readonly BackendServer[]): void {
    const ids = new Set(servers.map((server) => server.id));
    this.#records = this.#records.map((records) =>
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
   * Chooses among the servers with room.
   *
   * @param vm - index of the VM
   * @param usable - the servers
   * @returns the server, or undefined if there is none
   */
  protected abstract choose(
    vm: number,
    usable: readonly LocalRecord[],
  ): LocalRecord | undefined;

  /**
   * Decides whether a server is ejected after an attempt.
   *
   * @param record - the server
   * @param others - all servers at the same VM
   * @returns true to eject it
   */
  protected abstract shouldEject(
    record: LocalRecord,
    others: readonly LocalRecord[],
  ): boolean;

  #createRecords(
    servers: readonly BackendServer[],
  ): readonly (readonly LocalRecord[])[] {
    return this.world.vms.map(() =>
      servers.map((server) => ({
        server,
        inFlight: 0,
        ejectedUntilMs: 0,
        failuresInARow: 0,
        recent: [],
      }))
    );
  }

  #record(record: LocalRecord, vm: number, sample: AttemptSample): void {
    if (sample.outcome === "cancelled" || sample.outcome === "shed") {
      return;
    }
    const isServed = sample.outcome === "served";
    record.failuresInARow = isServed ? 0 : record.failuresInARow + 1;
    record.recent.push(isServed ? sample.totalMs : undefined);
    if (record.recent.length > WINDOW_SIZE) {
      record.recent.shift();
    }
    if (this.shouldEject(record, this.#records[vm] ?? [])) {
      const nowMs = this.world.time.readMonotonicMs();
      record.ejectedUntilMs = nowMs + EJECTION_MS;
      record.failuresInARow = 0;
      record.recent.length = 0;
    }
  }
}

/** Round robin; ejects after five failures in a row. */
export class RoundRobinPolicy extends LocalPolicy {
  override readonly name = "round robin, consecutive failures";
  readonly #turns = new Map<number, number>();

  protected override choose(
    vm: number,
    usable: readonly LocalRecord[],
  ): LocalRecord | undefined {
    const turn = this.#turns.get(vm) ?? vm;
    this.#turns.set(vm, turn + 1);
    return usable[turn % Math.max(1, usable.length)];
  }

  protected override shouldEject(record: LocalRecord): boolean {
    return record.failuresInARow >= CONSECUTIVE_FAILURES;
  }
}

/** Least outstanding; ejects what is far slower or fails far more often. */
export class LeastOutstandingPolicy extends LocalPolicy {
  override readonly name = "least outstanding, local percentile";

  protected override choose(
    _vm: number,
    usable: readonly LocalRecord[],
  ): LocalRecord | undefined {
    const least = Math.min(...usable.map((record) => record.inFlight));
    const best = usable.filter((record) => record.inFlight === least);
    return best[this.world.random.pickIndex(Math.max(1, best.length))];
  }

  protected override shouldEject(
    record: LocalRecord,
    others: readonly LocalRecord[],
  ): boolean {
    if (record.recent.length < LEAST_SAMPLES) {
      return false;
    }
    const failures = record.recent.filter((one) => one === undefined).length;
    if (failures >= FAILURE_SHARE * record.recent.length) {
      return true;
    }
    const medians = others
      .filter((other) =>
        other !== record && other.recent.length >= LEAST_SAMPLES
      )
      .map((other) => computePercentile(other.recent, 0.9))
      .sort((a, b) => a - b);
    const usual = medians[Math.floor(medians.length / 2)];
    return usual !== undefined &&
      computePercentile(record.recent, 0.9) > SLOW_FACTOR * usual;
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
