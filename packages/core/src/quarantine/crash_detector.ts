/** Distinguishes a server crash from other broken attempts, at one VM. */

import type { ServerId } from "@limpetford/domain/ids";

import type { AttemptSample } from "../evidence/attempt_sample.ts";

/** Time without failures after which a broken connection counts as a crash. */
const QUIET_PERIOD_MS = 5_000;
/** Connections that break within this time belong to the same crash. */
const SAME_CRASH_WINDOW_MS = 50;

/**
 * Detects crashes from broken connections. Only the first break after a period
 * without failures makes the requests in flight suspect; a server that breaks
 * connections repeatedly is in gray failure, which its requests do not cause.
 */
export class CrashDetector {
  readonly #lastFailureAtMs = new Map<ServerId, number>();
  readonly #crashedAtMs = new Map<ServerId, number>();

  /**
   * Records the end of an attempt.
   *
   * @param server - server that the attempt was sent to
   * @param sample - outcome of the attempt
   * @param nowMs - monotonic time, in milliseconds
   * @returns true if the attempt's request may have crashed the server
   */
  observe(server: ServerId, sample: AttemptSample, nowMs: number): boolean {
    if (!isBrokenConnection(sample)) {
      if (sample.outcome === "failed" || sample.outcome === "connect-failed") {
        this.#lastFailureAtMs.set(server, nowMs);
      }
      return false;
    }
    const lastFailureAtMs = this.#lastFailureAtMs.get(server) ??
      Number.NEGATIVE_INFINITY;
    const crashedAtMs = this.#crashedAtMs.get(server);
    const isSameCrash = crashedAtMs !== undefined &&
      nowMs - crashedAtMs < SAME_CRASH_WINDOW_MS;
    const isFirst = isSameCrash || nowMs - lastFailureAtMs > QUIET_PERIOD_MS;
    if (isFirst && !isSameCrash) {
      this.#crashedAtMs.set(server, nowMs);
    }
    this.#lastFailureAtMs.set(server, nowMs);
    return isFirst;
  }
}

function isBrokenConnection(sample: AttemptSample): boolean {
  return sample.outcome === "reset-before-first-byte" ||
    sample.outcome === "cut";
}
