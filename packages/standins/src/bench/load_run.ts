/** Runs load against a target and measures it. */

import { SeededRandomSource } from "@limpetford/core/time/random_source";
import { build, type Histogram } from "hdr-histogram-js";

import type { CpuTimeAnswer } from "./bench_part.ts";
import type { LoadOutcome, LoadTarget } from "./load_target.ts";

const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const HIGHEST_LATENCY_US = 60_000_000;
const ARRIVAL_SEED = 11;

/** What a run measured. */
export interface LoadResult {
  /** Latency in microseconds, from the moment a request was due. */
  readonly latencyUs: Histogram;
  readonly outcomes: Readonly<Record<LoadOutcome, number>>;
  readonly durationMs: number;
  /** Times of the measured thread over the measured part. */
  readonly cpuTimeMs: number;
  readonly coreWaitMs: number;
}

/** Length of a run. */
export interface LoadDuration {
  /** Time before measuring, in milliseconds. */
  readonly warmupMs: number;
  readonly measuredMs: number;
  /** Reads the times of the measured thread. */
  readonly readTimes: () => Promise<CpuTimeAnswer>;
}

/**
 * Sends requests when they are due, whether or not earlier ones have ended, and
 * measures each from the moment it was due.
 *
 * @param target - where to send
 * @param ratePerSecond - mean rate; arrivals are random and independent
 * @param duration - length of the run
 * @returns what was measured
 */
export async function runOpenLoop(
  target: LoadTarget,
  ratePerSecond: number,
  duration: LoadDuration,
): Promise<LoadResult> {
  const random = new SeededRandomSource(ARRIVAL_SEED);
  const meter = new LoadMeter(duration);
  const waiting: number[] = [];
  let nextDueMs = meter.startMs;
  let inFlight = 0;
  const send = (dueMs: number): void => {
    inFlight += 1;
    target.send((outcome) => {
      inFlight -= 1;
      meter.record(dueMs, outcome);
      const late = waiting.shift();
      if (late !== undefined) {
        send(late);
      }
    });
  };
  meter.startCpuMeter();
  while (performance.now() < meter.endMs || inFlight > 0) {
    const nowMs = performance.now();
    while (nextDueMs <= nowMs && nextDueMs < meter.endMs) {
      if (target.hasFreeConnection()) {
        send(nextDueMs);
      } else {
        waiting.push(nextDueMs);
      }
      const share = -Math.log(1 - random.sampleUniform());
      nextDueMs += share * MS_PER_SECOND / ratePerSecond;
    }
    await waitTurn();
  }
  return await meter.buildResult();
}

/**
 * Keeps all connections busy.
 *
 * @param target - where to send
 * @param duration - length of the run
 * @returns what was measured
 */
export async function runClosedLoop(
  target: LoadTarget,
  duration: LoadDuration,
): Promise<LoadResult> {
  const meter = new LoadMeter(duration);
  let inFlight = 0;
  const send = (): void => {
    inFlight += 1;
    const sentMs = performance.now();
    target.send((outcome) => {
      inFlight -= 1;
      meter.record(sentMs, outcome);
      if (performance.now() < meter.endMs) {
        send();
      }
    });
  };
  meter.startCpuMeter();
  while (target.hasFreeConnection()) {
    send();
  }
  while (inFlight > 0) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  return await meter.buildResult();
}

/** Records the requests of a run's measured part. */
class LoadMeter {
  readonly startMs = performance.now();
  readonly endMs: number;
  readonly #duration: LoadDuration;
  readonly #measureFromMs: number;
  #times: Promise<CpuTimeAnswer> | undefined;
  readonly #latencyUs = build({
    highestTrackableValue: HIGHEST_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
  readonly #outcomes = { served: 0, refused: 0, broken: 0 };

  constructor(duration: LoadDuration) {
    this.#duration = duration;
    this.#measureFromMs = this.startMs + duration.warmupMs;
    this.endMs = this.#measureFromMs + duration.measuredMs;
  }

  record(dueMs: number, outcome: LoadOutcome): void {
    if (dueMs < this.#measureFromMs) {
      return;
    }
    this.#outcomes[outcome] += 1;
    const latencyUs = (performance.now() - dueMs) * US_PER_MS;
    this.#latencyUs.recordValue(Math.max(1, Math.round(latencyUs)));
  }

  startCpuMeter(): void {
    const { warmupMs, measuredMs, readTimes } = this.#duration;
    const read = async (): Promise<CpuTimeAnswer> => {
      await waitMs(warmupMs);
      const before = await readTimes();
      await waitMs(measuredMs);
      const after = await readTimes();
      return {
        cpuTimeMs: after.cpuTimeMs - before.cpuTimeMs,
        coreWaitMs: after.coreWaitMs - before.coreWaitMs,
      };
    };
    this.#times = read();
  }

  async buildResult(): Promise<LoadResult> {
    const times = await this.#times;
    return {
      cpuTimeMs: times?.cpuTimeMs ?? Number.NaN,
      coreWaitMs: times?.coreWaitMs ?? Number.NaN,
      latencyUs: this.#latencyUs,
      outcomes: this.#outcomes,
      durationMs: this.endMs - this.#measureFromMs,
    };
  }
}

function waitMs(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

function waitTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
