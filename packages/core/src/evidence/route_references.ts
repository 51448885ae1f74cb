/** Reference latencies per route, as known on one VM. */

import type { RouteId } from "@limpetford/domain/ids";

import type { RouteReference } from "./evidence_report.ts";
import {
  computeBucketBoundMs,
  findLatencyBucket,
  LatencySketch,
} from "./latency_sketch.ts";

const MAX_SAMPLES = 1_000;
// A route with fewer samples has the default reference.
const MIN_SAMPLES = 30;
const DEFAULT_P99_MS = 1_000;
const DEFAULT_P90_MS = 500;

/**
 * Holds reference latencies per route: those of the shard's holder if known,
 * else those that this VM has recorded itself.
 */
export class RouteReferences {
  readonly #own = new Map<RouteId, LatencySketch>();
  readonly #pooled = new Map<RouteId, RouteReference>();

  /**
   * Records the latency of a served request.
   *
   * @param route - route of the request
   * @param latencyMs - latency in milliseconds
   */
  record(route: RouteId, latencyMs: number): void {
    const known = this.#own.get(route);
    const sketch = known ?? new LatencySketch();
    if (known === undefined) {
      this.#own.set(route, sketch);
    }
    sketch.add(findLatencyBucket(latencyMs), 1);
    sketch.enforceMaxTotal(MAX_SAMPLES);
  }

  /**
   * Applies the references that the shard's holder has computed.
   *
   * @param references - one reference per route; other routes keep theirs
   */
  apply(references: readonly RouteReference[]): void {
    for (const reference of references) {
      this.#pooled.set(reference.route, reference);
    }
  }

  /**
   * Finds the reference of a route.
   *
   * @param route - route of a request
   * @returns the holder's reference, else this VM's own, else a default
   */
  findReference(route: RouteId): RouteReference {
    const pooled = this.#pooled.get(route);
    if (pooled !== undefined) {
      return pooled;
    }
    const sketch = this.#own.get(route);
    if (sketch === undefined || sketch.countAll() < MIN_SAMPLES) {
      return { route, p90Ms: DEFAULT_P90_MS, p99Ms: DEFAULT_P99_MS };
    }
    return {
      route,
      p90Ms: computeBucketBoundMs(sketch.findQuantileBucket(0.9)),
      p99Ms: computeBucketBoundMs(sketch.findQuantileBucket(0.99)),
    };
  }
}
