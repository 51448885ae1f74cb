/** Receives the response of an attempt, or why there is none. */

import type { AttemptOutcome } from "../ports/server_router.ts";
import type { AttemptDenial } from "./attempt_message.ts";
import type { BackendAttempt } from "./backend_attempt.ts";

/** Status and headers of a response as received. */
export interface ResponseHead {
  readonly status: number;
  /** Values by lower-case name. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Status line and headers of a response as the HTTP client read them. */
export interface ReceivedHead extends ResponseHead {
  /** Reason phrase of the status line. */
  readonly reason: string | undefined;
}

/** Reason why an attempt gave no complete response. */
export interface AttemptFailure {
  readonly outcome: Exclude<AttemptOutcome, "served" | "failed" | "shed">;
  /** False if certainly no byte of the request was sent. */
  readonly mayHaveRun: boolean;
  /**
   * True if the response is not valid: it belongs to another attempt, does not
   * show where it ends, is followed by bytes that belong to no request, or is a
   * success without its proof.
   */
  readonly isMalformed: boolean;
  /** Set if the attempt ended before its first byte since it was not allowed. */
  readonly denial: AttemptDenial | undefined;
}

/**
 * Receives the response of an attempt. `receiveEnd` or `receiveFailure` is the
 * last call.
 */
export abstract class AttemptListener {
  /** Receives status and headers; informational responses are skipped. */
  abstract receiveHead(attempt: BackendAttempt, head: ResponseHead): void;
  /**
   * Receives a chunk of the body.
   *
   * @returns false to pause the response until `BackendAttempt.resume`
   */
  abstract receiveChunk(attempt: BackendAttempt, chunk: Buffer): boolean;
  /** Receives the last chunk, if any, and the end of a complete response. */
  abstract receiveEnd(attempt: BackendAttempt, last: Buffer | undefined): void;
  /** Receives the failure that ends the attempt. */
  abstract receiveFailure(
    attempt: BackendAttempt,
    failure: AttemptFailure,
  ): void;
}
