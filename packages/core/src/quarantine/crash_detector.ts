/** Tells a server's crash from other broken attempts, at one VM. */

import type { ServerId } from "@limpetford/domain/ids";

import type { AttemptSample } from "../evidence/attempt_sample.ts";

const CALM_MS = 5_000;
const SAME_CRASH_MS = 50;

/**
 * Remembers when servers were last disturbed. Only the first break after a
 * calm time implicates the requests in flight; a server that keeps breaking
 * attempts is gray, and its requests are not to blame.
 */
export class CrashDetector {
  readonly #disturbedAtMs = new Map<ServerId, number>();
  readonly #brokenAtMs = new Map<ServerId, number>();

  /**
   * Records the end of an attempt.
   *
   * @param server - the server
   * @param sample - how the attempt went
   * @param nowMs - monotonic time
   * @returns true if the request in flight may have crashed the server
   */

  observe(server: ServerId, sample: AttemptSample, nowMs: number): boolean {
    if (!isBreak(sample)) {
      if (sample.outcome === "failed" || sample.outcome === "connect-failed") {
        this.#disturbedAtMs.set(server, nowMs);
      }
      return false;
    }
    const disturbedAtMs = this.#disturbedAtMs.get(server) ??
      Number.NEGATIVE_INFINITY;
    const brokenAtMs = this.#brokenAtMs.get(server);
    const isSameCrash = brokenAtMs !== undefined &&
      nowMs - brokenAtMs < SAME_CRASH_MS;
    const isFirst = isSameCrash || nowMs - disturbedAtMs > CALM_MS;
    if (isFirst && !isSameCrash) {
      this.#brokenAtMs.set(server, nowMs);
    }
    this.#disturbedAtMs.set(server, nowMs);
    return isFirst;
  }
}

function isBreak(sample: AttemptSample): boolean {
  return sample.outcome === "reset-before-first-byte" ||
    sample.outcome === "cut";
}
