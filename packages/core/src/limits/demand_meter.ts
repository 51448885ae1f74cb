/** Measures a team's recent request rate at one VM. */

const HALF_LIFE_MS = 500;
const DECAY_PER_MS = Math.LN2 / HALF_LIFE_MS;
const MS_PER_SECOND = 1_000;

/**
 * Exponentially decayed request rate: the weight of a request halves with each
 * half-life.
 */
export class DemandMeter {
  #decayedCount = 0;
  #updatedAtMs = 0;

  /**
   * Records one request.
   *
   * @param nowMs - monotonic time
   */
  record(nowMs: number): void {
    this.#decayedCount = this.#computeDecayedCount(nowMs) + 1;
    this.#updatedAtMs = nowMs;
  }

  /**
   * Reads the decayed request rate.
   *
   * @param nowMs - monotonic time
   * @returns requests per second
   */
  readPerSecond(nowMs: number): number {
    return this.#computeDecayedCount(nowMs) * DECAY_PER_MS * MS_PER_SECOND;
  }

  #computeDecayedCount(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    return this.#decayedCount * Math.exp(-DECAY_PER_MS * elapsedMs);
  }
}
