/** Statistics and table of the benchmark's results. */

import Table from "cli-table3";

import type { LoadResult } from "./load_run.ts";

const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;

/** Measurements of one benchmark case, one per round. */
export interface CaseResult {
  readonly name: string;
  readonly rounds: readonly LoadResult[];
}

/**
 * Renders a table of the cases: medians over the rounds, and totals of failed
 * requests.
 *
 * @param results - cases in the order of the rows
 * @returns the table as text of several lines
 */
export function renderCases(results: readonly CaseResult[]): string {
  const table = new Table({
    head: [
      "way",
      "served/s",
      "not 200",
      "broken",
      "p50 ms",
      "p99 ms",
      "p99.9 ms",
      "core used",
      "core awaited",
      "CPU us/request",
    ],
    style: { head: [], border: [] },
  });
  for (const { name, rounds } of results) {
    const total = (read: (load: LoadResult) => number): number =>
      rounds.reduce((sum, load) => sum + read(load), 0);
    table.push([
      name,
      computeMedian(rounds.map(computeServedRate)).toFixed(0),
      total((load) => load.outcomes.refused),
      total((load) => load.outcomes.broken),
      ...[50, 99, 99.9].map((percentile) =>
        computeMedian(rounds.map((load) => readLatencyMs(load, percentile)))
          .toFixed(2)
      ),
      computeMedian(rounds.map((load) => load.cpuTimeMs / load.durationMs))
        .toFixed(2),
      computeMedian(rounds.map((load) => load.coreWaitMs / load.durationMs))
        .toFixed(2),
      computeMedian(rounds.map(computeCpuUs)).toFixed(0),
    ]);
  }
  return table.toString();
}

/**
 * Computes the latency that one case adds to another at a percentile, for each
 * round.
 *
 * @param results - all cases
 * @param names - the case to compare with, and the case that is compared
 * @param percentile - from 0 to 100
 * @returns added milliseconds of each round, lowest first
 */
export function computeAddedMs(
  results: readonly CaseResult[],
  names: { readonly base: string; readonly compared: string },
  percentile: number,
): readonly number[] {
  const find = (name: string): readonly LoadResult[] =>
    results.find((result) => result.name === name)?.rounds ?? [];
  const base = find(names.base);
  return find(names.compared).map((load, index) => {
    const other = base[index];
    return other === undefined
      ? Number.NaN
      : readLatencyMs(load, percentile) - readLatencyMs(other, percentile);
  }).sort((a, b) => a - b);
}

/**
 * Computes the median.
 *
 * @param values - at least one value
 * @returns the median; of an even number of values, the upper middle one
 */
export function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}

/**
 * Computes the mean CPU time of one request.
 *
 * @param load - measurements of one run
 * @returns microseconds of CPU time per request, whatever its outcome
 */
export function computeCpuUs(load: LoadResult): number {
  const { served, refused, broken } = load.outcomes;
  return load.cpuTimeMs * US_PER_MS / (served + refused + broken);
}

function computeServedRate(load: LoadResult): number {
  return load.outcomes.served * MS_PER_SECOND / load.durationMs;
}

function readLatencyMs(load: LoadResult, percentile: number): number {
  return load.latencyUs.getValueAtPercentile(percentile) / US_PER_MS;
}
