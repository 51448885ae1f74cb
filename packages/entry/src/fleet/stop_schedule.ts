/** Decides which requests a stopping VM may still send to backend servers. */

import type { LongestDurations } from "@limpetford/core/placement/longest_durations";

import type { RequestContext } from "../ports/request_context.ts";

/** Share by which a request may last longer than the recent ones of its route. */
const DURATION_MARGIN = 0.25;

/**
 * Tells until when requests have to end. A request that may take longer is better
 * refused as not run, so that its caller can ask another VM, than cut.
 */
export class StopSchedule {
  #stopAtMs = Infinity;

  /**
   * Sets the time at which requests in flight are aborted.
   *
   * @param stopAtMs - monotonic time, in milliseconds
   */
  setStopAt(stopAtMs: number): void {
    this.#stopAtMs = stopAtMs;
  }

  /**
   * Checks whether a request that is sent now ends before this VM stops.
   *
   * @param context - the request
   * @param durations - longest recent durations of its service's requests
   * @param nowMs - monotonic time, in milliseconds
   * @returns false if requests of its route take longer or almost as long, or may by
   * their deadline if little is known of them
   */
  mayEndInTime(
    { route, deadlineAtMs }: Pick<RequestContext, "route" | "deadlineAtMs">,
    durations: LongestDurations,
    nowMs: number,
  ): boolean {
    if (this.#stopAtMs === Infinity) {
      return true;
    }
    const longestMs = durations.find(route.id, nowMs) ?? Infinity;
    const mayLastMs = longestMs * (1 + DURATION_MARGIN);
    return Math.min(nowMs + mayLastMs, deadlineAtMs) <= this.#stopAtMs;
  }
}
