/** Lets one run of a suspect request at a time start at this VM. */

/** A run that takes longer no longer holds back the next one. */
const MAX_BLOCKING_MS = 1_000;

/**
 * Keeps the runs of suspect requests that are under way. Equal requests wait for
 * the result: if the run crashes its server, the others must not follow, and if
 * it is served, all may go on.
 */
export class SuspectRunGate {
  readonly #startedAtMs = new Map<string, number>();

  /**
   * Starts a run unless another run of the same request is under way.
   *
   * @param fingerprint - fingerprint of the request
   * @param nowMs - monotonic time, in milliseconds
   * @returns true if the run may start; `complete` must be called at its end
   */
  begin(fingerprint: string, nowMs: number): boolean {
    if (this.computeWaitMs(fingerprint, nowMs) > 0) {
      return false;
    }
    this.#startedAtMs.set(fingerprint, nowMs);
    return true;
  }

  /**
   * Computes how long the run under way holds back the next one at most.
   *
   * @param fingerprint - fingerprint of the request
   * @param nowMs - monotonic time, in milliseconds
   * @returns milliseconds; 0 if a run may start
   */
  computeWaitMs(fingerprint: string, nowMs: number): number {
    const startedAtMs = this.#startedAtMs.get(fingerprint);
    return startedAtMs === undefined
      ? 0
      : Math.max(0, startedAtMs + MAX_BLOCKING_MS - nowMs);
  }

  /**
   * Ends a run.
   *
   * @param fingerprint - fingerprint of the request
   */
  complete(fingerprint: string): void {
    this.#startedAtMs.delete(fingerprint);
  }
}
