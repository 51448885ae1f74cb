/** The claim of one request and its one settlement. */

import type {
  Claim,
  ClaimSettlement,
  IdempotencyLedger,
  ReplayableResponse,
} from "../ports/idempotency_ledger.ts";

/**
 * Settles a claim exactly once.
 */
export class ClaimKeeper {
  readonly #ledger: IdempotencyLedger;
  readonly #claim: Claim;
  #settlement: Promise<void> | undefined;

  /**
   * Takes charge of a claim.
   *
   * @param ledger - the ledger that recorded it
   * @param claim - the claim
   */
  constructor(ledger: IdempotencyLedger, claim: Claim) {
    this.#ledger = ledger;
    this.#claim = claim;
  }

  /**
   * Checks whether the request may be sent now.
   *
   * @returns true if the claim still holds and is not settled
   */
  mayDispatch(): boolean {
    return this.#settlement === undefined &&
      this.#ledger.mayDispatch(this.#claim);
  }

  /**
   * Records how the request ended, unless that has been recorded.
   *
   * @param settlement - the end
   * @returns ends when the ledger has it; never fails
   */
  async settle(settlement: ClaimSettlement): Promise<void> {
    this.#settlement ??= this.#record(settlement);
    await this.#settlement;
  }

  async #record(settlement: ClaimSettlement): Promise<void> {
    try {
      await this.#ledger.settle(this.#claim, settlement);
    } catch {
      // The claim stays without an end, which the ledger reads as unknown.
    }
  }
}

/**
 * Collects an answer for replay, up to a limit.
 */
export class AnswerCollector {
  readonly #limitBytes: number;
  #status = 0;
  #headers: (readonly [string, string])[] = [];
  #chunks: Buffer[] = [];
  #bytes = 0;

  /**
   * Starts empty.
   *
   * @param limitBytes - largest body to keep
   */
  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /**
   * Begins with the head.
   *
   * @param status - HTTP status
   * @param headers - names and values in turn
   */
  begin(status: number, headers: readonly string[]): void {
    this.#status = status;
    for (let index = 0; index + 1 < headers.length; index += 2) {
      this.#headers.push([headers[index] ?? "", headers[index + 1] ?? ""]);
    }
  }

  /**
   * Adds a part of the body.
   *
   * @param chunk - the bytes
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
   * Builds the settlement of a whole answer.
   *
   * @returns the answer, or that it was too large
   */
  buildSettlement(): ClaimSettlement {
    if (this.#bytes > this.#limitBytes) {
      return { kind: "answered-not-kept" };
    }
    const answer: ReplayableResponse = {
      status: this.#status,
      headers: this.#headers,
      body: Buffer.concat(this.#chunks),
    };
    return { kind: "answered", answer };
  }
}
