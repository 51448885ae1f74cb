/** Decides which requests a stopping VM may still send to backend servers. */

import type { LongestDurations } from "@limpetford/core/placement/longest_durations";

import type { RequestContext } from "../ports/request_context.ts";

/** Share by which a request may last longer than the recent ones of its route. */
const DURATION_MARGIN = 0.25;

/** Monotonic times of a stop, in milliseconds. */
export interface StopTimes {
  /** Until then a request may be sent that is only expected to end in time. */
  readonly estimatesUntilMs: number;
  /** Time at which requests in flight are aborted. */
  readonly stopAtMs: number;
}

/**
 * Tells until when requests have to end. A request that may take longer is better
 * refused as not run, so that its caller can ask another VM, than cut. Few requests
 * last longer than all before them, but some do, so that late in a stop only a
 * request is sent whose deadline passes in time.
 */
export class StopSchedule {
  #times: StopTimes = { estimatesUntilMs: Infinity, stopAtMs: Infinity };

  /**
   * Whether a stop has begun.
   *
   * @returns true after `begin`
   */
  get isStopping(): boolean {
    return this.#times.stopAtMs !== Infinity;
  }

  /**
   * Begins a stop.
   *
   * @param times - its times
   */
  begin(times: StopTimes): void {
    this.#times = times;
  }

  /**
   * Checks whether a request that is sent now ends before this VM stops.
   *
   * @param context - the request
   * @param durations - longest recent durations of its service's requests
   * @param nowMs - monotonic time, in milliseconds
   * @returns true if its deadline passes before; early in a stop also if requests of
   * its route take clearly less time than is left
   */
  mayEndInTime(
    { route, deadlineAtMs }: Pick<RequestContext, "route" | "deadlineAtMs">,
    durations: LongestDurations,
    nowMs: number,
  ): boolean {
    const { estimatesUntilMs, stopAtMs } = this.#times;
    if (deadlineAtMs <= stopAtMs) {
      return true;
    }
    if (nowMs > estimatesUntilMs) {
      return false;
    }
    const longestMs = durations.find(route.id, nowMs) ?? Infinity;
    return nowMs + longestMs * (1 + DURATION_MARGIN) <= stopAtMs;
  }
}
