/** Estimates which share of a service's servers is in gray failure. */

import type { TrackedServer } from "./tracked_server.ts";

const INITIAL_GRAY_SHARE = 0.1;
const MIN_GRAY_SHARE = 0.03;
const MAX_GRAY_SHARE = 0.4;
/** Weight of a new estimate in the moving average of the gray share. */
const SMOOTHING = 0.2;
/** Servers without an outcome for this long do not count for the share. */
const RECENT_EVIDENCE_MS = 2_000;
/** Time between two estimates. */
const INTERVAL_MS = 500;

/** Moving average of the share of servers in gray failure. */
export class GrayShareEstimator {
  #share = INITIAL_GRAY_SHARE;
  #updatedAtMs = 0;

  /**
   * Share of the service's servers in gray failure.
   *
   * @returns from 0 to 1
   */
  get share(): number {
    return this.#share;
  }

  /**
   * Updates the share from the servers with recent outcomes.
   *
   * @param servers - the service's servers
   * @param nowMs - monotonic time, in milliseconds
   */
  update(servers: readonly TrackedServer[], nowMs: number): void {
    if (nowMs - this.#updatedAtMs < INTERVAL_MS) {
      return;
    }
    this.#updatedAtMs = nowMs;
    const recent = servers.filter((server) =>
      nowMs - server.lastEvidenceAtMs < RECENT_EVIDENCE_MS
    );
    if (recent.length === 0) {
      return;
    }
    const sum = recent.reduce(
      (total, server) =>
        total + server.estimateGrayProbability(this.#share, nowMs),
      0,
    );
    const observed = Math.min(
      MAX_GRAY_SHARE,
      Math.max(MIN_GRAY_SHARE, sum / recent.length),
    );
    this.#share += SMOOTHING * (observed - this.#share);
  }
}
