/** What a response says of the state of the backend server that sent it. */

import type { RateLimitNotice } from "./rate_limit_notice.ts";

/** State of a backend server according to one of its responses. */
export interface ServerNotice {
  readonly rateLimit: RateLimitNotice;
  /** True if the server is leaving; holds until it starts again. */
  readonly isLeaving: boolean;
  /**
   * Time for which the server wants no requests from this VM, in milliseconds;
   * undefined if the response does not say so.
   */
  readonly pauseMs: number | undefined;
}
