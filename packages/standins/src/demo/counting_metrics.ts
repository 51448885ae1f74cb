/** In-memory counters, shared by the demo's VMs. */

import { ServingMetrics } from "@limpetford/entry/telemetry/serving_metrics";

/**
 * Counts events by metric name and tag; discards durations.
 */
export class CountingMetrics extends ServingMetrics {
  readonly #counts = new Map<string, number>();

  override count(name: string, tag?: string, amount = 1): void {
    const key = tag === undefined ? name : `${name} ${tag}`;
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + amount);
  }

  /**
   * Lists all counters that have counted an event.
   *
   * @returns metric name with its tag, and number of events, sorted by name
   */
  listCounts(): readonly { readonly name: string; readonly count: number }[] {
    return [...this.#counts]
      .map(([name, count]) => ({ name, count }))
      .sort((a, b) => a.name.localeCompare(b.name));
  }
}
