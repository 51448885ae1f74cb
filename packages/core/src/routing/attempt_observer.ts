/** What one VM learns from its attempts at a service's servers. */

import type { ServerId } from "@limpetford/domain/ids";

import type { LocalAvoidance } from "../ejection/local_avoidance.ts";
import type { AttemptSample } from "../evidence/attempt_sample.ts";
import {
  computeLatencyMs,
  EvidenceRecorder,
  type RunningAttempt,
} from "../evidence/evidence_recorder.ts";
import type { RouteEvidence } from "../evidence/evidence_report.ts";
import type { RouteReferences } from "../evidence/route_references.ts";
import { CrashDetector } from "../quarantine/crash_detector.ts";
import type { Clock } from "../time/clock.ts";
import type { ServerChoice, ServerPool } from "./server_pool.ts";

/** Settings of {@link AttemptObserver}. */
export interface AttemptObserverOptions {
  readonly clock: Clock;
  readonly pool: ServerPool;
  readonly avoidance: LocalAvoidance;
  readonly references: RouteReferences;
}

/** One attempt at a server. */
export interface ObservedAttempt {
  readonly choice: ServerChoice;
  readonly attempt: RunningAttempt;
  /** True if the request is known to be a suspect. */
  readonly isPermitted: boolean;
}

/**
 * Feeds the ends and ages of attempts to evidence, avoidance and load.
 */
export class AttemptObserver {
  readonly #options: AttemptObserverOptions;
  readonly #recorder: EvidenceRecorder;
  readonly #crashes = new CrashDetector();

  /**
   * Starts without attempts.
   *
   * @param options - what the attempts are recorded in
   */
  constructor(options: AttemptObserverOptions) {
    this.#options = options;
    this.#recorder = new EvidenceRecorder(options.references);
  }

  /**
   * Begins to observe an attempt.
   *
   * @param observed - the attempt
   */
  begin(observed: ObservedAttempt): void {
    observed.choice.load.begin();
    this.#recorder.begin(observed.attempt);
  }

  /**
   * Records the end of an attempt.
   *
   * @param observed - the attempt
   * @param sample - how it went
   * @returns true if the request may have crashed the server
   */
  complete(observed: ObservedAttempt, sample: AttemptSample): boolean {
    const nowMs = this.#options.clock.readMonotonicMs();
    const { server } = observed.attempt;
    observed.choice.load.release();
    const isFirstBreak = this.#crashes.observe(server, sample, nowMs);
    const isCrash = isFirstBreak || (observed.isPermitted && isBroken(sample));
    this.#recorder.complete(observed.attempt, sample, !isCrash);
    this.#updateLoad(observed, sample, nowMs);
    if (observed.choice.isTrial && sample.outcome === "cancelled") {
      this.#options.avoidance.cancelTrial(server);
    }
    return isCrash;
  }

  /** Looks at the ages of running attempts. */
  observeAges(): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    for (const server of this.#recorder.observeAges(nowMs)) {
      this.#recordFailure(server, nowMs);
    }
  }

  /** Makes all evidence due at once. */
  reportSoon(): void {
    this.#recorder.reportSoon();
  }

  /**
   * Takes the evidence that is due for the holder.
   *
   * @returns the deltas, empty if nothing is due
   */
  takeEvidence(): readonly RouteEvidence[] {
    return this.#recorder.takeDue(this.#options.clock.readMonotonicMs());
  }

  #updateLoad(
    observed: ObservedAttempt,
    sample: AttemptSample,
    nowMs: number,
  ): void {
    const { server, route } = observed.attempt;
    const { references, avoidance } = this.#options;
    switch (sample.outcome) {
      case "served": {
        const slowness = computeLatencyMs(sample) /
          references.findReference(route).p90Ms;
        observed.choice.load.recordServed(slowness, nowMs);
        avoidance.recordSuccess(server);
        return;
      }
      case "shed":
        observed.choice.load.recordShed(nowMs);
        return;
      case "cancelled":
        return;
      case "failed":
      case "connect-failed":
      case "reset-before-first-byte":
      case "cut":
      case "timed-out":
        this.#recordFailure(server, nowMs);
        return;
    }
  }

  #recordFailure(server: ServerId, nowMs: number): void {
    this.#options.pool.findLoad(server)?.recordFailure();
    this.#options.avoidance.recordFailure(server, nowMs);
  }
}

function isBroken(sample: AttemptSample): boolean {
  return sample.outcome === "reset-before-first-byte" ||
    sample.outcome === "cut";
}
