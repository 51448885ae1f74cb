/** An in-memory store of idempotency keys and their responses. */

import { computeKeyWindowMs } from "@limpetford/core/claims/idempotency_key";
import type { Clock } from "@limpetford/core/time/clock";

import {
  type Claim,
  type ClaimRequest,
  type ClaimSettlement,
  type ClaimVerdict,
  IdempotencyLedger,
} from "../ports/idempotency_ledger.ts";

const RETRY_AFTER_MS = 1_000;

interface Entry {
  readonly claim: Claim;
  readonly fingerprint: string;
  readonly claimedAtMs: number;
  settlement: ClaimSettlement | undefined;
}

/**
 * Keeps claims until the process exits. Other VMs do not see them.
 */
export class SimpleIdempotencyLedger extends IdempotencyLedger {
  readonly #clock: Clock;
  readonly #entries = new Map<string, Entry>();
  #claimCount = 0;

  /**
   * Creates an empty store.
   *
   * @param clock - clock that measures the age of claims
   */
  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override claim(request: ClaimRequest): Promise<ClaimVerdict> {
    return Promise.resolve(this.#decide(request));
  }

  override mayDispatch(claim: Claim): boolean {
    return this.#findEntry(claim)?.settlement === undefined;
  }

  override settle(claim: Claim, settlement: ClaimSettlement): Promise<void> {
    const entry = this.#findEntry(claim);
    if (entry !== undefined) {
      if (settlement.kind === "not-run") {
        this.#entries.delete(formatEntryKey(claim));
      } else {
        entry.settlement = settlement;
      }
    }
    return Promise.resolve();
  }

  #decide(request: ClaimRequest): ClaimVerdict {
    const entryKey = formatEntryKey(request);
    const entry = this.#entries.get(entryKey);
    const nowMs = this.#clock.readMonotonicMs();
    const windowMs = computeKeyWindowMs(
      request.idempotencyKey,
      request.context.route,
    ) ?? Infinity;
    if (entry === undefined || nowMs - entry.claimedAtMs > windowMs) {
      return this.#record(request, nowMs);
    }
    if (entry.fingerprint !== request.fingerprint) {
      return { kind: "conflict" };
    }
    switch (entry.settlement?.kind) {
      case undefined:
        return { kind: "still-running", retryAfterMs: RETRY_AFTER_MS };
      case "answered":
        return { kind: "replay", answer: entry.settlement.answer };
      case "answered-not-kept":
        return { kind: "ran-answer-not-kept" };
      case "unknown":
        return { kind: "outcome-unknown" };
      case "not-run":
        return this.#record(request, nowMs);
    }
  }

  #record(request: ClaimRequest, nowMs: number): ClaimVerdict {
    this.#claimCount += 1;
    const claim: Claim = {
      team: request.team,
      idempotencyKey: request.idempotencyKey,
      claimId: String(this.#claimCount),
    };
    this.#entries.set(formatEntryKey(request), {
      claim,
      fingerprint: request.fingerprint,
      claimedAtMs: nowMs,
      settlement: undefined,
    });
    return { kind: "run", claim };
  }

  #findEntry(claim: Claim): Entry | undefined {
    const entry = this.#entries.get(formatEntryKey(claim));
    return entry?.claim.claimId === claim.claimId ? entry : undefined;
  }
}

function formatEntryKey(
  claim: Pick<Claim, "team" | "idempotencyKey">,
): string {
  return `${claim.team}\n${claim.idempotencyKey}`;
}
