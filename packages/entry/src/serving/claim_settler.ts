/** Records how a claimed request ended, and the response to replay. */

import type {
  Claim,
  ClaimSettlement,
  IdempotencyLedger,
  ReplayableResponse,
} from "../ports/idempotency_ledger.ts";

/**
 * Settles the idempotency claim of one request. Only the first settlement is
 * recorded.
 */
export class ClaimSettler {
  readonly #ledger: IdempotencyLedger;
  readonly #claim: Claim;
  #settlement: Promise<void> | undefined;

  /**
   * Wraps a claim that has been recorded.
   *
   * @param ledger - ledger that recorded the claim
   * @param claim - claim to settle
   */
  constructor(ledger: IdempotencyLedger, claim: Claim) {
    this.#ledger = ledger;
    this.#claim = claim;
  }

  /**
   * Checks whether the request may be sent now.
   *
   * @returns true if the claim is still valid and has not been settled
   */
  mayDispatch(): boolean {
    return this.#settlement === undefined &&
      this.#ledger.mayDispatch(this.#claim);
  }

  /**
   * Records how the request ended, unless an end has been recorded before.
   *
   * @param settlement - outcome, with the response to keep for replay
   * @returns resolves when the ledger has recorded it or failed; never rejects
   */
  async settle(settlement: ClaimSettlement): Promise<void> {
    this.#settlement ??= this.#record(settlement);
    await this.#settlement;
  }

  async #record(settlement: ClaimSettlement): Promise<void> {
    try {
      await this.#ledger.settle(this.#claim, settlement);
    } catch {
      // The claim stays unsettled; the ledger treats its outcome as unknown.
    }
  }
}

/**
 * Buffers a response for replay, up to a size limit.
 */
export class ReplayBuffer {
  readonly #limitBytes: number;
  #status = 0;
  #headers: (readonly [string, string])[] = [];
  #chunks: Buffer[] = [];
  #bytes = 0;

  /**
   * Starts with an empty buffer.
   *
   * @param limitBytes - maximum size of a body that is kept
   */
  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /**
   * Stores status and headers.
   *
   * @param status - HTTP status
   * @param headers - alternating names and values
   */
  begin(status: number, headers: readonly string[]): void {
    this.#status = status;
    for (let index = 0; index + 1 < headers.length; index += 2) {
      this.#headers.push([headers[index] ?? "", headers[index + 1] ?? ""]);
    }
  }

  /**
   * Appends a chunk of the body. The body is discarded when it exceeds the
   * limit.
   *
   * @param chunk - bytes of the body
   */
  add(chunk: Buffer): void {
    this.#bytes += chunk.length;
    if (this.#bytes > this.#limitBytes) {
      this.#chunks = [];
    } else {
      this.#chunks.push(chunk);
    }
  }

  /**
   * Builds the settlement after a complete response.
   *
   * @returns the response, or `answered-not-kept` if its body exceeds the limit
   */
  buildSettlement(): ClaimSettlement {
    if (this.#bytes > this.#limitBytes) {
      return { kind: "answered-not-kept" };
    }
    const response: ReplayableResponse = {
      status: this.#status,
      headers: this.#headers,
      body: Buffer.concat(this.#chunks),
    };
    return { kind: "answered", answer: response };
  }
}
