/** Mergeable latency histogram with exponentially growing buckets. */

const BUCKET_RATIO = 1.25;
const SMALLEST_BUCKET_MS = 0.5;

/** Number of buckets of a sketch; the last one holds all higher latencies. */
export const LATENCY_BUCKET_COUNT = 60;

/**
 * Finds the bucket of a latency.
 *
 * @param latencyMs - latency in milliseconds
 * @returns index of the first bucket whose upper bound is not below it
 */
export function findLatencyBucket(latencyMs: number): number {
  if (latencyMs <= SMALLEST_BUCKET_MS) {
    return 0;
  }
  const exact = Math.log(latencyMs / SMALLEST_BUCKET_MS) /
    Math.log(BUCKET_RATIO);
  return Math.min(LATENCY_BUCKET_COUNT - 1, Math.ceil(exact));
}

/**
 * Computes the upper bound of a bucket.
 *
 * @param bucket - index of the bucket
 * @returns upper bound in milliseconds
 */
export function computeBucketBoundMs(bucket: number): number {
  return SMALLEST_BUCKET_MS * BUCKET_RATIO ** bucket;
}

/**
 * Counts latencies per bucket. Scaling the counts down gives old latencies less
 * weight.
 */
export class LatencySketch {
  readonly #counts = new Float64Array(LATENCY_BUCKET_COUNT);
  #total = 0;

  /**
   * Adds latencies of one bucket.
   *
   * @param bucket - index of the bucket; clamped to the range of the sketch
   * @param count - number of latencies, may be fractional
   */
  add(bucket: number, count: number): void {
    const index = Math.max(0, Math.min(LATENCY_BUCKET_COUNT - 1, bucket));
    this.#counts[index] = (this.#counts[index] ?? 0) + count;
    this.#total += count;
  }

  /**
   * Counts the latencies in the sketch.
   *
   * @returns total, fractional after {@link LatencySketch.enforceMaxTotal}
   */
  countAll(): number {
    return this.#total;
  }

  /**
   * Scales all counts down so that at most a given total remains.
   *
   * @param limit - maximum total
   */
  enforceMaxTotal(limit: number): void {
    if (this.#total <= limit) {
      return;
    }
    const factor = limit / this.#total;
    for (let index = 0; index < LATENCY_BUCKET_COUNT; index += 1) {
      this.#counts[index] = (this.#counts[index] ?? 0) * factor;
    }
    this.#total = limit;
  }

  /**
   * Finds the bucket in which a quantile lies.
   *
   * @param quantile - quantile from 0 to 1
   * @returns index of the bucket; 0 if the sketch is empty
   */
  findQuantileBucket(quantile: number): number {
    const wanted = this.#total * quantile;
    let seen = 0;
    for (let index = 0; index < LATENCY_BUCKET_COUNT; index += 1) {
      seen += this.#counts[index] ?? 0;
      if (seen >= wanted && seen > 0) {
        return index;
      }
    }
    return 0;
  }
}
