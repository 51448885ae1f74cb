/** Checks of what was seen from outside while the builds of a fleet changed. */

import type {
  ObservedRequest,
  ObservedRun,
} from "../process_soak/soak_callers.ts";

/** Time in which a VM was held up from outside. */
export interface Disturbance {
  /** Identifier of the VM. */
  readonly vm: string;
  /** What was done to it, for pages. */
  readonly what: string;
  /** Wall-clock time of the start, in milliseconds. */
  readonly fromMs: number;
  /** Wall-clock time of the end, in milliseconds. */
  readonly toMs: number;
}

/** One process of a VM, from its start to its end. */
export interface VmLife {
  readonly vm: string;
  /** Name of the build that it ran. */
  readonly build: string;
  /** Wall-clock time of the start, in milliseconds. */
  readonly fromMs: number;
  /** Wall-clock time of the end; undefined if it went on to the end of the run. */
  readonly toMs: number | undefined;
  /** Exit code; null if a signal ended it, undefined if it went on. */
  readonly exitCode: number | null | undefined;
  /** True if it was sent a signal that ends it. */
  readonly wasStopped: boolean;
  readonly log: string;
}

/** Requests, runs and what was done to VMs. */
export interface LossObservations {
  readonly sent: readonly ObservedRequest[];
  readonly runs: readonly ObservedRun[];
  readonly disturbances: readonly Disturbance[];
}

/**
 * Finds requests that ran, or waited to the end of their time, and whose callers
 * got no answer of a VM that nothing had happened to.
 *
 * @param observations - requests, runs and disturbances
 * @returns a message for each
 */
export function findLostRequests(
  { sent, runs, disturbances }: LossObservations,
): readonly string[] {
  const ran = new Set(runs.map(({ id }) => id));
  return sent.flatMap(({ id, target, vm, response, ...request }) => {
    const { sentAtMs, endedAtMs } = request;
    if (response?.status !== 0 || endedAtMs === undefined) {
      return [];
    }
    const isExcused = disturbances.some((disturbance) =>
      disturbance.vm === vm && disturbance.fromMs <= endedAtMs &&
      disturbance.toMs >= sentAtMs
    );
    return isExcused || !(ran.has(id) || request.hasGivenUp) ? [] : [
      `${id} ${target} got no answer of ${String(vm)} in ` +
      `${endedAtMs - sentAtMs} ms, ${ran.has(id) ? "but" : "and hasn't"} ran`,
    ];
  });
}

/**
 * Finds processes that ended by themselves, or with an error when told to end.
 *
 * @param lives - all processes
 * @returns a message for each
 */
export function findOwnEnds(lives: readonly VmLife[]): readonly string[] {
  return lives.flatMap(({ vm, build, toMs, exitCode, wasStopped }) => {
    if (toMs === undefined || (wasStopped && (exitCode ?? 0) === 0)) {
      return [];
    }
    const manner = wasStopped ? "after a signal" : "by itself";
    return [`${vm} (${build}) ended ${manner} with code ${String(exitCode)}`];
  });
}

/**
 * Finds log lines which say that a message was malformed.
 *
 * @param lives - all processes
 * @returns a message for each such line
 */
export function findMalformedLines(
  lives: readonly VmLife[],
): readonly string[] {
  return lives.flatMap(({ vm, build, log }) =>
    log.split("\n").filter((line) => line.includes("malformed"))
      .map((line) => `${vm} (${build}) logged: ${line}`)
  );
}
