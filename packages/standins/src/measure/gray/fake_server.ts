/** Simulated backend server with slots, a short queue and injected faults. */

import type { RandomSource } from "@limpetford/core/time/random_source";
import type { BackendServer } from "@limpetford/domain/service";

import { type FaultModel, RESTART_MS } from "./fault_model.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** Requests that may wait for a slot; further ones are shed. */
const QUEUE_CAPACITY = 6;
/** Time until a fault-injected shed response. */
const SHED_RESPONSE_MS = 1;
/** Time until an error response. */
const FAILURE_RESPONSE_MS = 3;
/** Time until the health endpoint responds. */
const PROBE_RESPONSE_MS = 25;
/** Time from the start of a crashing request to the crash. */
const CRASH_AFTER_MS = 3;
/** Time until a cancelled request frees its slot. */
const CANCELLATION_MS = 5;
/** Time for which a restarted server is slow. */
const WARM_UP_MS = 3_000;
/** Factor on service times while a restarted server warms up. */
const WARM_UP_FACTOR = 2;

/** How a request ends at the server. */
export type ServerOutcome =
  | "served"
  | "failed"
  | "shed"
  | "refused"
  | "reset";

/** A request as the server runs it. */
export interface ServerWork {
  /** Time on a healthy server, in milliseconds. */
  readonly serviceMs: number;
  readonly isCrashing: boolean;
  /** Called once, or never if the server does not respond. */
  readonly deliver: (outcome: ServerOutcome) => void;
}

/** Dependencies of a simulated server. */
export interface FakeServerOptions {
  readonly record: BackendServer;
  readonly time: VirtualTime;
  readonly random: RandomSource;
  readonly faults: FaultModel;
}

/**
 * Runs requests in its slots and applies the faults active at that time.
 */
export class FakeServer {
  readonly #options: FakeServerOptions;
  readonly #running = new Set<ServerWork>();
  readonly #queue: ServerWork[] = [];
  #downUntilMs = 0;
  #warmUpStartMs = Number.NEGATIVE_INFINITY;
  #crashes = 0;
  #queued = 0;

  /**
   * Creates an idle server.
   *
   * @param options - server record, virtual time and fault model
   */
  constructor(options: FakeServerOptions) {
    this.#options = options;
  }

  /**
   * Runs, queues or rejects a request.
   *
   * @param work - request to run
   */
  accept(work: ServerWork): void {
    const nowMs = this.#options.time.readMonotonicMs();
    const kinds = this.#listFaults().map((fault) => fault.kind);
    if (this.#isDown(nowMs) || kinds.includes("crash")) {
      work.deliver("refused");
    } else if (this.#shouldShed()) {
      this.#options.time.schedule(SHED_RESPONSE_MS, () => {
        work.deliver("shed");
      });
    } else if (this.#running.size < this.#options.record.slots) {
      this.#run(work);
    } else if (this.#queue.length < QUEUE_CAPACITY) {
      this.#queue.push(work);
      this.#queued += 1;
    } else {
      work.deliver("shed");
    }
  }

  /**
   * Cancels a queued or running request; a running one frees its slot.
   *
   * @param work - request passed to accept
   */
  cancel(work: ServerWork): void {
    if (this.#running.has(work)) {
      this.#options.time.schedule(CANCELLATION_MS, () => {
        if (this.#running.has(work)) {
          this.#release(work);
        }
      });
      return;
    }
    const index = this.#queue.indexOf(work);
    if (index >= 0) {
      this.#queue.splice(index, 1);
    }
  }

  /**
   * Responds to a probe of the health endpoint without taking a slot.
   *
   * @param deliver - called with the health that the endpoint reports
   */
  probe(deliver: (isHealthy: boolean) => void): void {
    const nowMs = this.#options.time.readMonotonicMs();
    const kinds = this.#listFaults().map((fault) => fault.kind);
    const isHealthy = !this.#isDown(nowMs) && !kinds.includes("crash") &&
      !kinds.includes("lying-health");
    this.#options.time.schedule(PROBE_RESPONSE_MS, () => {
      deliver(isHealthy);
    });
  }

  /** Crashes and restarts the server, which resets requests in flight. */
  reset(): void {
    const nowMs = this.#options.time.readMonotonicMs();
    this.#crashes += 1;
    this.#options.faults.recordCrash(this.#options.record.id, nowMs);
    this.#downUntilMs = nowMs + RESTART_MS;
    this.#warmUpStartMs = this.#downUntilMs;
    const lost = [...this.#running, ...this.#queue];
    this.#running.clear();
    this.#queue.length = 0;
    for (const work of lost) {
      work.deliver("reset");
    }
  }

  /**
   * Counts the crashes, whether caused by a request or by a fault.
   *
   * @returns number of crashes since the start of the run
   */
  countCrashes(): number {
    return this.#crashes;
  }

  /**
   * Counts the requests that found all slots taken and were queued.
   *
   * @returns number of queued requests since the start of the run
   */
  countQueued(): number {
    return this.#queued;
  }

  #listFaults(): ReturnType<FaultModel["listServerFaults"]> {
    const { faults, record, time } = this.#options;
    return faults.listServerFaults(record.id, time.readMonotonicMs());
  }

  #isDown(nowMs: number): boolean {
    if (nowMs < this.#downUntilMs) {
      return true;
    }
    return this.#listFaults().some((fault) =>
      fault.kind === "cold-start" && nowMs < fault.onsetMs + RESTART_MS
    );
  }

  #shouldShed(): boolean {
    return this.#listFaults().some((fault) =>
      fault.kind === "shed" &&
      this.#options.random.sampleUniform() < fault.share
    );
  }

  #run(work: ServerWork): void {
    const { time } = this.#options;
    this.#running.add(work);
    if (work.isCrashing) {
      time.schedule(CRASH_AFTER_MS, () => {
        if (this.#running.has(work)) {
          this.reset();
        }
      });
      return;
    }
    const isBlackHole = this.#listFaults().some((fault) =>
      fault.kind === "black-hole"
    );
    if (isBlackHole) {
      return;
    }
    const isFailing = this.#isFailing();
    const durationMs = isFailing
      ? FAILURE_RESPONSE_MS
      : work.serviceMs * this.#computeSlowdown();
    time.schedule(durationMs, () => {
      if (this.#running.has(work)) {
        this.#release(work);
        work.deliver(isFailing ? "failed" : "served");
      }
    });
  }

  #release(work: ServerWork): void {
    this.#running.delete(work);
    const next = this.#queue.shift();
    if (next !== undefined) {
      this.#run(next);
    }
  }

  #isFailing(): boolean {
    const nowMs = this.#options.time.readMonotonicMs();
    return this.#listFaults().some((fault) => {
      if (fault.kind === "fail") {
        return this.#options.random.sampleUniform() < fault.share;
      }
      if (fault.kind === "flapping") {
        const phase = (nowMs - fault.onsetMs) % (2 * fault.periodMs);
        return phase < fault.periodMs;
      }
      return false;
    });
  }

  #computeSlowdown(): number {
    const nowMs = this.#options.time.readMonotonicMs();
    let factor = nowMs < this.#warmUpStartMs + WARM_UP_MS ? WARM_UP_FACTOR : 1;
    for (const fault of this.#listFaults()) {
      if (fault.kind === "slow") {
        factor *= fault.factor;
      } else if (fault.kind === "cold-start") {
        const warmMs = nowMs - fault.onsetMs - RESTART_MS;
        const left = Math.max(0, 1 - warmMs / fault.warmUpMs);
        factor *= 1 + (fault.factor - 1) * left;
      }
    }
    return factor;
  }
}
