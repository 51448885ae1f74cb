/** A backend server with slots, a short queue and faults. */

import type { RandomSource } from "@limpetford/core/time/random_source";
import type { BackendServer } from "@limpetford/domain/service";

import { type FaultModel, RESTART_MS } from "./fault_model.ts";
import type { VirtualTime } from "./virtual_time.ts";

const QUEUE_LIMIT = 6;
const SHED_MS = 1;
const FAILURE_MS = 3;
const PROBE_MS = 25;
const CRASH_AFTER_MS = 3;
const CANCEL_MS = 5;
const WARM_UP_MS = 3_000;
const WARM_UP_FACTOR = 2;

/** How a server ends a request. */
export type ServerAnswer =
  | "served"
  | "failed"
  | "shed"
  | "refused"
  | "reset";

/** Work for a server. */
export interface ServerWork {
  /** Time on a healthy server, in milliseconds. */
  readonly serviceMs: number;
  readonly isCrashing: boolean;
  /** Called once, unless the server never answers. */
  readonly deliver: (answer: ServerAnswer) => void;
}

/** What a server is made of. */
export interface FakeServerOptions {
  readonly record: BackendServer;
  readonly time: VirtualTime;
  readonly random: RandomSource;
  readonly faults: FaultModel;
}

/**
 * Runs requests in its slots, as its faults let it.
 */
export class FakeServer {
  readonly #options: FakeServerOptions;
  readonly #running = new Set<ServerWork>();
  readonly #queue: ServerWork[] = [];
  #downUntilMs = 0;
  #warmFromMs = Number.NEGATIVE_INFINITY;
  #crashes = 0;
  #waited = 0;

  /**
   * Starts idle.
   *
   * @param options - record, time and faults
   */
  constructor(options: FakeServerOptions) {
    this.#options = options;
  }

  /**
   * Accepts a request.
   *
   * @param work - the request
   */
  accept(work: ServerWork): void {
    const nowMs = this.#options.time.readMonotonicMs();
    const kinds = this.#listFaults().map((fault) => fault.kind);
    if (this.#isDown(nowMs) || kinds.includes("crash")) {
      work.deliver("refused");
    } else if (this.#shouldShed()) {
      this.#options.time.schedule(SHED_MS, () => {
        work.deliver("shed");
      });
    } else if (this.#running.size < this.#options.record.slots) {
      this.#run(work);
    } else if (this.#queue.length < QUEUE_LIMIT) {
      this.#queue.push(work);
      this.#waited += 1;
    } else {
      work.deliver("shed");
    }
  }

  /**
   * Cancels a request, which gives its slot back.
   *
   * @param work - the request
   */
  cancel(work: ServerWork): void {
    if (this.#running.has(work)) {
      this.#options.time.schedule(CANCEL_MS, () => {
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
   * Answers a probe of the health endpoint, in a slot.
   *
   * @param deliver - called with what the endpoint says
   */
  probe(deliver: (isHealthy: boolean) => void): void {
    const nowMs = this.#options.time.readMonotonicMs();
    const kinds = this.#listFaults().map((fault) => fault.kind);
    const isHealthy = !this.#isDown(nowMs) && !kinds.includes("crash") &&
      !kinds.includes("lying-health");
    this.#options.time.schedule(PROBE_MS, () => {
      deliver(isHealthy);
    });
  }

  /** Restarts the server: requests in flight are reset. */
  reset(): void {
    const nowMs = this.#options.time.readMonotonicMs();
    this.#crashes += 1;
    this.#options.faults.recordCrash(this.#options.record.id, nowMs);
    this.#downUntilMs = nowMs + RESTART_MS;
    this.#warmFromMs = this.#downUntilMs;
    const lost = [...this.#running, ...this.#queue];
    this.#running.clear();
    this.#queue.length = 0;
    for (const work of lost) {
      work.deliver("reset");
    }
  }

  /**
   * Counts the crashes caused by requests.
   *
   * @returns the number
   */
  countCrashes(): number {
    return this.#crashes;
  }

  /**
   * Counts the requests that found all slots taken.
   *
   * @returns the number
   */
  countWaited(): number {
    return this.#waited;
  }

  #listFaults(): ReturnType<FaultModel["listAt"]> {
    const { faults, record, time } = this.#options;
    return faults.listAt(record.id, time.readMonotonicMs());
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
    const isHole = this.#listFaults().some((fault) =>
      fault.kind === "black-hole"
    );
    if (isHole) {
      return;
    }
    const isFailing = this.#isFailing();
    const durationMs = isFailing
      ? FAILURE_MS
      : work.serviceMs * this.#computeSlowness();
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

  #computeSlowness(): number {
    const nowMs = this.#options.time.readMonotonicMs();
    let factor = nowMs < this.#warmFromMs + WARM_UP_MS ? WARM_UP_FACTOR : 1;
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
