/** Forwards the response to a claimed request and settles its claim. */

import { REQUEST_OUTCOME } from "@limpetford/domain/request_outcome";

import { selectResponseHeaders } from "../dialect/header_filter.ts";
import type { ResponseHead } from "./attempt_listener.ts";
import type { ClaimSettler, ReplayBuffer } from "./claim_settler.ts";
import type { Refusal } from "./refusal.ts";
import { ResponseReceiver } from "./response_receiver.ts";

/** Dependencies of the receiver of a claimed request. */
export interface ClaimedRequestReceiverParts {
  /** Sends the response to the caller, which may time out or disconnect. */
  readonly caller: ResponseReceiver;
  readonly settler: ClaimSettler;
  readonly replayBuffer: ReplayBuffer;
  /** Called once, after the claim has been settled. */
  readonly complete: () => void;
}

/**
 * Settles a claim when its request ends. If the caller disconnects or its
 * deadline passes before that, the request continues, so that its response can
 * be replayed when the caller sends the request again.
 */
export class ClaimedRequestReceiver extends ResponseReceiver {
  readonly #parts: ClaimedRequestReceiverParts;
  #isCallerExpired = false;
  #hasHead = false;

  /**
   * Prepares to receive one response.
   *
   * @param parts - claim, buffer and receiver of the caller
   */
  constructor(parts: ClaimedRequestReceiverParts) {
    super();
    this.#parts = parts;
  }

  /**
   * Whether the caller still waits for the start of a response.
   *
   * @returns false after the headers have been received or the caller's
   * deadline has passed
   */
  get isCallerWaiting(): boolean {
    return !this.#isCallerExpired && !this.#hasHead;
  }

  /**
   * Ends the response to the caller while the request continues. A response
   * that has begun is truncated.
   *
   * @param refusal - sent to the caller if no response has begun
   */
  expireCaller(refusal: Refusal): void {
    if (this.#isCallerExpired) {
      return;
    }
    this.#isCallerExpired = true;
    if (this.#hasHead) {
      this.#parts.caller.receiveCut();
    } else {
      this.#parts.caller.receiveRefusal(refusal);
    }
  }

  override receiveHead(head: ResponseHead): void {
    this.#hasHead = true;
    this.#parts.replayBuffer.begin(
      head.status,
      selectResponseHeaders(head.headers),
    );
    if (!this.#isCallerExpired) {
      this.#parts.caller.receiveHead(head);
    }
  }

  override receiveChunk(chunk: Buffer): boolean {
    this.#parts.replayBuffer.add(chunk);
    return this.#isCallerExpired || this.#parts.caller.receiveChunk(chunk);
  }

  override receiveEnd(last: Buffer | undefined): void {
    if (last !== undefined) {
      this.#parts.replayBuffer.add(last);
    }
    void this.#settleAs(this.#parts.replayBuffer.buildSettlement());
    if (!this.#isCallerExpired) {
      this.#parts.caller.receiveEnd(last);
    }
  }

  override receiveCut(): void {
    void this.#settleAs({ kind: "unknown" });
    if (!this.#isCallerExpired) {
      this.#parts.caller.receiveCut();
    }
  }

  override receiveRefusal(refusal: Refusal): void {
    const isNotRun = refusal.outcome === REQUEST_OUTCOME.notRun;
    void this.#settleAs({ kind: isNotRun ? "not-run" : "unknown" });
    if (!this.#isCallerExpired) {
      this.#parts.caller.receiveRefusal(refusal);
    }
  }

  async #settleAs(
    settlement: Parameters<ClaimSettler["settle"]>[0],
  ): Promise<void> {
    await this.#parts.settler.settle(settlement);
    this.#parts.complete();
  }
}
