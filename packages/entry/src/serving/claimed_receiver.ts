/** Hands on the answer to a claimed request, and settles its claim. */

import { REQUEST_OUTCOME } from "@limpetford/domain/request_outcome";

import { selectResponseHeaders } from "../dialect/header_filter.ts";
import { AnswerReceiver } from "./response_receiver.ts";
import type { ResponseHead } from "./backend_attempt.ts";
import type { AnswerCollector, ClaimKeeper } from "./claim_keeper.ts";
import type { Refusal } from "./refusal.ts";

/** What a claimed request's receiver works with. */
export interface ClaimedReceiverParts {
  /** Gets the answer as well; may be cut off before the claim is settled. */
  readonly caller: AnswerReceiver;
  readonly keeper: ClaimKeeper;
  readonly collector: AnswerCollector;
  /** Called once, after the claim is settled. */
  readonly complete: () => void;
}

/**
 * Settles a claim with the end of its request. The caller may leave or run out
 * of time before that; the request goes on so that a resend can be answered.
 */
export class ClaimedReceiver extends AnswerReceiver {
  readonly #parts: ClaimedReceiverParts;
  #isCallerDone = false;
  #hasHead = false;

  /**
   * Prepares to receive.
   *
   * @param parts - what it works with
   */
  constructor(parts: ClaimedReceiverParts) {
    super();
    this.#parts = parts;
  }

  /**
   * True if the caller waits for an answer of which nothing has been sent.
   *
   * @returns the current value
   */
  get isCallerWaiting(): boolean {
    return !this.#isCallerDone && !this.#hasHead;
  }

  /**
   * Ends the caller's part before the request has ended.
   *
   * @param refusal - what the caller is told if no answer has begun
   */
  expireCaller(refusal: Refusal): void {
    if (this.#isCallerDone) {
      return;
    }
    this.#isCallerDone = true;
    if (this.#hasHead) {
      this.#parts.caller.receiveCut();
    } else {
      this.#parts.caller.receiveRefusal(refusal);
    }
  }

  override receiveHead(head: ResponseHead): void {
    this.#hasHead = true;
    this.#parts.collector.begin(
      head.status,
      selectResponseHeaders(head.headers),
    );
    if (!this.#isCallerDone) {
      this.#parts.caller.receiveHead(head);
    }
  }

  override receiveChunk(chunk: Buffer): boolean {
    this.#parts.collector.add(chunk);
    return this.#isCallerDone || this.#parts.caller.receiveChunk(chunk);
  }

  override receiveEnd(last: Buffer | undefined): void {
    if (last !== undefined) {
      this.#parts.collector.add(last);
    }
    void this.#settleAs(this.#parts.collector.buildSettlement());
    if (!this.#isCallerDone) {
      this.#parts.caller.receiveEnd(last);
    }
  }

  override receiveCut(): void {
    void this.#settleAs({ kind: "unknown" });
    if (!this.#isCallerDone) {
      this.#parts.caller.receiveCut();
    }
  }

  override receiveRefusal(refusal: Refusal): void {
    const isNotRun = refusal.outcome === REQUEST_OUTCOME.notRun;
    void this.#settleAs({ kind: isNotRun ? "not-run" : "unknown" });
    if (!this.#isCallerDone) {
      this.#parts.caller.receiveRefusal(refusal);
    }
  }

  async #settleAs(
    settlement: Parameters<ClaimKeeper["settle"]>[0],
  ): Promise<void> {
    await this.#parts.keeper.settle(settlement);
    this.#parts.complete();
  }
}
