/** Outcome and timing of a request attempt at a backend server. */

/** Outcome of an attempt at a backend server. */
export type AttemptOutcome =
  /** Complete response with a status below 500. */
  | "served"
  /** Complete response with a status of 500 or above, except load shedding. */
  | "failed"
  /** The server shed load and did not run the request. */
  | "shed"
  /** No connection could be made; nothing was sent. */
  | "connect-failed"
  /** The connection was reset after sending and before the first byte. */
  | "reset-before-first-byte"
  /** The response was incomplete or malformed. */
  | "cut"
  /** No complete response by the deadline. */
  | "timed-out"
  /** The caller disconnected, or a hedged request was faster. */
  | "cancelled";

/** Connection that an attempt was sent over. */
export interface AttemptConnection {
  /** Number of the connection; unique within its pool. */
  readonly number: number;
  /** Requests that it had carried before. */
  readonly requestsBefore: number;
  /** Copies of responses to these that came before the attempt's own response. */
  readonly copies: number;
}

/** Measurements of one attempt. */
export interface AttemptSample {
  readonly outcome: AttemptOutcome;
  /**
   * Time from the first byte sent to the first byte of the response; undefined
   * without a response.
   */
  readonly firstByteMs: number | undefined;
  /** Time from the start of the attempt to its end. */
  readonly totalMs: number;
  /** Time from the start of the attempt to its sending; absent if not sent. */
  readonly sentAfterMs?: number | undefined;
  /** True if the connection had served a request before. */
  readonly wasConnectionReused: boolean;
  /** Size of the response. */
  readonly answerBytes: number;
  /**
   * Longest time for which the end of a response may have been on its way or unread; undefined
   * unless it had no length and ended with its connection.
   */
  readonly unreadMs?: number | undefined;
  /** False if the request was certainly not sent; absent if not known. */
  readonly wasSent?: boolean;
  /** Absent if the attempt was not begun. */
  readonly connection?: AttemptConnection;
}
