/** Reference latencies per route, pooled over servers and VMs. */

import type { RouteId } from "@limpetford/domain/ids";

import type {
  BucketCount,
  RouteReference,
} from "../evidence/evidence_report.ts";
import {
  computeBucketBoundMs,
  LatencySketch,
} from "../evidence/latency_sketch.ts";
import { OBSERVATION, type Observation } from "./observation.ts";

const MAX_SAMPLES = 3_000;
// A route with fewer samples has no reference latencies.
const MIN_SAMPLES = 40;
// Below this number of samples, all latencies count in full.
const UNLIMITED_SAMPLES = 1_000;
const MAX_SAMPLES_PER_SECOND = 30;

/**
 * Keeps a latency sketch per route and classifies latencies by its quantiles.
 */
export class RouteBaselines {
  readonly #sketches = new Map<RouteId, LatencySketch>();
  readonly #addedAtMs = new Map<RouteId, number>();

  /**
   * Adds latencies of servers that look healthy. Beyond a rate of samples they
   * weigh less, so that a busy minute counts no more than a quiet one.
   *
   * @param route - route of the requests
   * @param latencies - number of served requests per latency bucket
   * @param nowMs - monotonic time in milliseconds
   */
  add(
    route: RouteId,
    latencies: readonly BucketCount[],
    nowMs: number,
  ): void {
    const known = this.#sketches.get(route);
    const sketch = known ?? new LatencySketch();
    if (known === undefined) {
      this.#sketches.set(route, sketch);
    }
    const weight = sketch.countAll() < UNLIMITED_SAMPLES
      ? 1
      : this.#takeWeight(route, latencies, nowMs);
    for (const { bucket, count } of latencies) {
      sketch.add(bucket, weight * count);
    }
    sketch.enforceMaxTotal(MAX_SAMPLES);
  }

  #takeWeight(
    route: RouteId,
    latencies: readonly BucketCount[],
    nowMs: number,
  ): number {
    const count = latencies.reduce((sum, entry) => sum + entry.count, 0);
    const sinceMs = nowMs - (this.#addedAtMs.get(route) ?? nowMs);
    this.#addedAtMs.set(route, nowMs);
    const allowed = Math.min(1_000, sinceMs) * MAX_SAMPLES_PER_SECOND / 1_000;
    return count === 0 ? 0 : Math.min(1, allowed / count);
  }

  /**
   * Finds the class of a served request's latency.
   *
   * @param route - route of the request
   * @param bucket - index of the latency's bucket
   * @returns fast, slow or verySlow; fast while the route has too few samples
   */
  findLatencyClass(route: RouteId, bucket: number): Observation {
    const sketch = this.#sketches.get(route);
    if (sketch === undefined || sketch.countAll() < MIN_SAMPLES) {
      return OBSERVATION.fast;
    }
    if (bucket > sketch.findQuantileBucket(0.99)) {
      return OBSERVATION.verySlow;
    }
    return bucket > sketch.findQuantileBucket(0.9)
      ? OBSERVATION.slow
      : OBSERVATION.fast;
  }

  /**
   * Lists the reference latencies that are sent to the VMs.
   *
   * @returns one reference per route with enough samples
   */
  listReferences(): readonly RouteReference[] {
    const references: RouteReference[] = [];
    for (const [route, sketch] of this.#sketches) {
      if (sketch.countAll() >= MIN_SAMPLES) {
        references.push({
          route,
          p90Ms: computeBucketBoundMs(sketch.findQuantileBucket(0.9)),
          p99Ms: computeBucketBoundMs(sketch.findQuantileBucket(0.99)),
        });
      }
    }
    return references;
  }
}
