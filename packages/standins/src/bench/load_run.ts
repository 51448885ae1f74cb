/** Generates open-loop or closed-loop load and measures latency and CPU. */

import { SeededRandomSource } from "@limpetford/core/time/random_source";
import { build, type Histogram } from "hdr-histogram-js";

import type { LoadOutcome, LoadTarget } from "./load_target.ts";
import type { ThreadTimes } from "./thread_messages.ts";

const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const MAX_LATENCY_US = 60_000_000;
const ARRIVAL_SEED = 11;

/** Measurements of one run, without its warm-up. */
export interface LoadResult {
  /** Latency in microseconds, from the time that a request was due. */
  readonly latencyUs: Histogram;
  /** Number of requests by outcome. */
  readonly outcomes: Readonly<Record<LoadOutcome, number>>;
  /** Length of the measurement, in milliseconds. */
  readonly durationMs: number;
  /** CPU time of the measured thread during the measurement. */
  readonly cpuTimeMs: number;
  /** Time that the measured thread was runnable while no core was free. */
  readonly coreWaitMs: number;
}

/** Length of a run, and access to the measured thread. */
export interface LoadDuration {
  /** Warm-up time whose requests are not counted, in milliseconds. */
  readonly warmupMs: number;
  /** Time of the measurement, in milliseconds. */
  readonly measuredMs: number;
  /** Reads the CPU time and core wait time of the measured thread. */
  readonly readTimes: () => Promise<ThreadTimes>;
}

/**
 * Runs an open loop: requests are due at random times, whether or not earlier
 * ones have ended. Latency counts from the due time, so that waiting for a free
 * connection is part of it.
 *
 * @param target - connections to the server under load
 * @param ratePerSecond - mean rate of the Poisson arrivals
 * @param duration - warm-up and measurement time
 * @returns latency, outcomes and CPU time of the measurement
 */
export async function runOpenLoop(
  target: LoadTarget,
  ratePerSecond: number,
  duration: LoadDuration,
): Promise<LoadResult> {
  const random = new SeededRandomSource(ARRIVAL_SEED);
  const recorder = new LoadRecorder(duration);
  const queuedDueMs: number[] = [];
  let nextDueMs = recorder.startMs;
  let inFlight = 0;
  const send = (dueMs: number): void => {
    inFlight += 1;
    target.send((outcome) => {
      inFlight -= 1;
      recorder.record(dueMs, outcome);
      const oldestDueMs = queuedDueMs.shift();
      if (oldestDueMs !== undefined) {
        send(oldestDueMs);
      }
    });
  };
  recorder.startCpuMeasurement();
  while (performance.now() < recorder.endMs || inFlight > 0) {
    const nowMs = performance.now();
    while (nextDueMs <= nowMs && nextDueMs < recorder.endMs) {
      if (target.hasFreeConnection()) {
        send(nextDueMs);
      } else {
        queuedDueMs.push(nextDueMs);
      }
      const interval = -Math.log(1 - random.sampleUniform());
      nextDueMs += interval * MS_PER_SECOND / ratePerSecond;
    }
    await waitForNextIteration();
  }
  return await recorder.buildResult();
}

/**
 * Runs a closed loop: each connection sends its next request when the previous
 * one has ended, which finds the saturation rate.
 *
 * @param target - connections to the server under load
 * @param duration - warm-up and measurement time
 * @returns latency, outcomes and CPU time of the measurement
 */
export async function runClosedLoop(
  target: LoadTarget,
  duration: LoadDuration,
): Promise<LoadResult> {
  const recorder = new LoadRecorder(duration);
  let inFlight = 0;
  const send = (): void => {
    inFlight += 1;
    const sentMs = performance.now();
    target.send((outcome) => {
      inFlight -= 1;
      recorder.record(sentMs, outcome);
      if (performance.now() < recorder.endMs) {
        send();
      }
    });
  };
  recorder.startCpuMeasurement();
  while (target.hasFreeConnection()) {
    send();
  }
  while (inFlight > 0) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  return await recorder.buildResult();
}

/** Records the latency, outcomes and CPU time of a run after its warm-up. */
class LoadRecorder {
  readonly startMs = performance.now();
  readonly endMs: number;
  readonly #duration: LoadDuration;
  readonly #measurementStartMs: number;
  #times: Promise<ThreadTimes> | undefined;
  readonly #latencyUs = build({
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
  readonly #outcomes = { served: 0, refused: 0, broken: 0 };

  constructor(duration: LoadDuration) {
    this.#duration = duration;
    this.#measurementStartMs = this.startMs + duration.warmupMs;
    this.endMs = this.#measurementStartMs + duration.measuredMs;
  }

  record(dueMs: number, outcome: LoadOutcome): void {
    if (dueMs < this.#measurementStartMs) {
      return;
    }
    this.#outcomes[outcome] += 1;
    const latencyUs = (performance.now() - dueMs) * US_PER_MS;
    this.#latencyUs.recordValue(Math.max(1, Math.round(latencyUs)));
  }

  startCpuMeasurement(): void {
    const { warmupMs, measuredMs, readTimes } = this.#duration;
    const read = async (): Promise<ThreadTimes> => {
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
      durationMs: this.endMs - this.#measurementStartMs,
    };
  }
}

function waitMs(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

// Lets the event loop handle I/O before the next check of due requests.
function waitForNextIteration(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
