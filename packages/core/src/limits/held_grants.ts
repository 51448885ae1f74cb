/** Tokens granted to this VM by the holder of a team's shard. */

import { GRANT_VALID_MS } from "./limit_bucket.ts";

const RETURN_BEFORE_EXPIRY_MS = 400;

/** A grant as its receiver keeps it. */
export interface HeldGrant {
  readonly id: string;
  readonly unspent: number;
  /** By this VM's clock, counted from before the grant was asked for. */
  readonly expiresAtMs: number;
  /** When to give back what is left; never for a short grant. */
  readonly returnAtMs: number;
}

/** What a VM tells the holder of one of its grants. */
export interface GrantReport {
  readonly id: string;
  readonly unspent: number;
  /** True if the VM will spend no more of it. */
  readonly isReturned: boolean;
}

/** Grants after a spend, and whether there was a token. */
export interface WalletStep {
  readonly grants: readonly HeldGrant[];
  readonly isDone: boolean;
}

/** A grant as it arrives. */
export interface ReceivedGrant {
  readonly id: string;
  readonly tokens: number;
  readonly validForMs: number;
}

/**
 * Builds the record of a received grant.
 *
 * @param received - the grant
 * @param askedAtMs - this VM's monotonic time before it sent the request
 * @returns the record
 */
export function createHeldGrant(
  received: ReceivedGrant,
  askedAtMs: number,
): HeldGrant {
  const validForMs = Math.min(GRANT_VALID_MS, received.validForMs);
  const expiresAtMs = askedAtMs + validForMs;
  const isShort = validForMs <= 2 * RETURN_BEFORE_EXPIRY_MS;
  return {
    id: received.id,
    unspent: received.tokens,
    expiresAtMs,
    returnAtMs: isShort ? Infinity : expiresAtMs - RETURN_BEFORE_EXPIRY_MS,
  };
}

/**
 * Spends one token of the grant that runs out first. The clock is read at the
 * moment of the spend, so that a paused VM spends nothing late.
 *
 * @param grants - grants held
 * @param nowMs - this VM's monotonic time
 * @returns the grants left, and whether there was a token
 */
export function spendGranted(
  grants: readonly HeldGrant[],
  nowMs: number,
): WalletStep {
  const valid = grants
    .filter((held) => nowMs < held.expiresAtMs)
    .sort((a, b) => a.expiresAtMs - b.expiresAtMs);
  const first = valid.find((held) => held.unspent > 0);
  if (first === undefined) {
    return { grants: valid, isDone: false };
  }
  const left = { ...first, unspent: first.unspent - 1 };
  return {
    grants: valid.map((held) => held === first ? left : held),
    isDone: true,
  };
}

/**
 * Counts the tokens that may still be spent.
 *
 * @param grants - grants held
 * @param nowMs - this VM's monotonic time
 * @returns tokens
 */
export function countSpendable(
  grants: readonly HeldGrant[],
  nowMs: number,
): number {
  return grants
    .filter((held) => nowMs < held.expiresAtMs)
    .reduce((sum, held) => sum + held.unspent, 0);
}

/**
 * Lists what to give back of all grants; the caller keeps none of them.
 *
 * @param grants - grants held
 * @returns one entry per grant, also for those that are spent
 */
export function listReturns(
  grants: readonly HeldGrant[],
): readonly GrantReport[] {
  return grants.map(({ id, unspent }) => ({ id, unspent, isReturned: true }));
}
