/** Keeps what a listener throws away from the HTTP client and its callbacks. */

import {
  type AttemptFailure,
  AttemptListener,
  type ResponseHead,
} from "./attempt_listener.ts";
import type { BackendAttempt } from "./backend_attempt.ts";
import type { StepGuard } from "./step_guard.ts";

/**
 * Passes calls to a listener. What it throws would otherwise end in a callback of
 * the HTTP client or of the event loop, where nothing knows the request.
 */
export class GuardedListener extends AttemptListener {
  readonly #listener: AttemptListener;
  readonly #guard: StepGuard;

  /**
   * Wraps a listener.
   *
   * @param listener - listener of all attempts of one request
   * @param guard - ends the request if the listener throws
   */
  constructor(listener: AttemptListener, guard: StepGuard) {
    super();
    this.#listener = listener;
    this.#guard = guard;
  }

  override receiveHead(attempt: BackendAttempt, head: ResponseHead): void {
    try {
      this.#listener.receiveHead(attempt, head);
    } catch (error) {
      this.#guard.handle(error);
    }
  }

  override receiveChunk(attempt: BackendAttempt, chunk: Buffer): boolean {
    try {
      return this.#listener.receiveChunk(attempt, chunk);
    } catch (error) {
      this.#guard.handle(error);
      return true;
    }
  }

  override receiveEnd(
    attempt: BackendAttempt,
    last: Buffer | undefined,
  ): void {
    try {
      this.#listener.receiveEnd(attempt, last);
    } catch (error) {
      this.#guard.handle(error);
    }
  }

  override receiveFailure(
    attempt: BackendAttempt,
    failure: AttemptFailure,
  ): void {
    try {
      this.#listener.receiveFailure(attempt, failure);
    } catch (error) {
      this.#guard.handle(error);
    }
  }
}
