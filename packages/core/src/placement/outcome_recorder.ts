/** Updates the estimates of a service's servers with the ends of attempts. */

import type { AttemptSample } from "../evidence/attempt_sample.ts";
import type { ServiceReach } from "../reach/service_reach.ts";
import { EVIDENCE, type Evidence } from "./gray_failure_estimator.ts";
import type { GrayShareEstimator } from "./gray_share_estimator.ts";
import type { LongestDurations } from "./longest_durations.ts";
import type { TakenSlot } from "./placement_decision.ts";
import type { RouteSizeEstimator } from "./route_size_estimator.ts";
import type { ServerEvidence } from "./server_evidence.ts";
import type { ServiceTimeEstimator } from "./service_time_estimator.ts";
import type { TrackedServer } from "./tracked_server.ts";

/** Multiple of the service time after which a request counts as hung. */
const HUNG_FACTOR = 4;

/** Estimators of one service. */
export interface OutcomeRecorderOptions {
  readonly serviceTimes: ServiceTimeEstimator;
  readonly durations: LongestDurations;
  readonly grayShares: GrayShareEstimator;
  readonly sizes: RouteSizeEstimator;
  readonly reach: ServiceReach;
}

/** Records outcomes, and collects what the other VMs have to hear of them. */
export class OutcomeRecorder {
  readonly #options: OutcomeRecorderOptions;
  #unsent: ServerEvidence[] = [];

  /**
   * Starts without outcomes.
   *
   * @param options - estimators that are updated
   */
  constructor(options: OutcomeRecorderOptions) {
    this.#options = options;
  }

  /**
   * Records the end of an attempt.
   *
   * @param slot - slot that the attempt used
   * @param sample - outcome and duration of the attempt
   * @param nowMs - monotonic time, in milliseconds
   */
  record(slot: TakenSlot, sample: AttemptSample, nowMs: number): void {
    const { server, running, demand } = slot;
    const { serviceTimes, durations, sizes, reach } = this.#options;
    reach.recordAttempt(server.announced.id, sample, nowMs);
    if (sample.outcome === "served" || sample.outcome === "failed") {
      durations.record(demand.route, sample.totalMs, nowMs);
    }
    switch (sample.outcome) {
      case "served":
        server.recordAnswered();
        this.#recordEvidence(server, EVIDENCE.success, nowMs);
        server.recordSpeed(sample.totalMs / running.expectedMs, nowMs);
        serviceTimes.recordDuration(demand.route, sample.totalMs);
        sizes.recordResponse(demand.route, sample.answerBytes);
        break;
      case "failed":
      case "cut":
        server.recordAnswered();
        this.#recordEvidence(server, EVIDENCE.failure, nowMs);
        break;
      case "shed":
        server.recordShed(nowMs);
        break;
      case "connect-failed":
      case "reset-before-first-byte":
        this.#recordLinkFailure(slot, nowMs);
        break;
      case "timed-out":
      case "cancelled":
        if (sample.totalMs > running.expectedMs * HUNG_FACTOR) {
          this.#recordLinkFailure(slot, nowMs);
        }
        break;
    }
  }

  /**
   * Takes the outcomes that have not been sent to the other VMs yet.
   *
   * @returns the outcomes, oldest first
   */
  takeEvidence(): readonly ServerEvidence[] {
    const taken = this.#unsent;
    this.#unsent = [];
    return taken;
  }

  #recordEvidence(
    server: TrackedServer,
    evidence: Evidence,
    nowMs: number,
  ): void {
    server.recordEvidence(evidence, this.#options.grayShares.share, nowMs);
    this.#unsent.push({
      server: server.announced.id,
      evidence,
      isLinkFailure: false,
    });
  }

  // The server is not to blame, here or elsewhere, for links of this VM that may
  // have failed to all servers.
  #recordLinkFailure({ server, running }: TakenSlot, nowMs: number): void {
    server.recordLinkFailure(nowMs);
    if (this.#options.reach.mayBlameServer(running.startedAtMs)) {
      this.#recordEvidence(server, EVIDENCE.failure, nowMs);
    }
  }
}
