/** Token grants that this VM received from the holder of a team's shard. */

import { GRANT_VALID_MS } from "./limit_bucket.ts";

/** Unspent tokens are returned to the holder this long before expiry. */
const RETURN_BEFORE_EXPIRY_MS = 400;

/** A grant as its receiver stores it. */
export interface HeldGrant {
  readonly id: string;
  /** Tokens left. */
  readonly unspent: number;
  /**
   * Monotonic time of this VM. Validity counts from before the request for the
   * grant was sent, so that it ends here before it ends at the holder.
   */
  readonly expiresAtMs: number;
  /** Monotonic time at which to return unspent tokens; never if short-lived. */
  readonly returnAtMs: number;
}

/** Report of a VM to the holder about one of its grants. */
export interface GrantReport {
  readonly id: string;
  /** Tokens of the grant that the VM has not spent. */
  readonly unspent: number;
  /** True if the VM has dropped the grant and will spend no more of it. */
  readonly isReturned: boolean;
}

/** Result of an attempt to spend a token. */
export interface SpendResult {
  /** The unexpired grants after it. */
  readonly grants: readonly HeldGrant[];
  /** True if a token was spent. */
  readonly isAllowed: boolean;
}

/** A grant in the holder's reply. */
export interface ReceivedGrant {
  readonly id: string;
  readonly tokens: number;
  readonly validForMs: number;
}

/**
 * Creates the local record of a received grant.
 *
 * @param received - the grant in the holder's reply
 * @param askedAtMs - this VM's monotonic time before it sent the request
 * @returns the grant with its expiry on this VM's clock
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
 * Spends one token of the grant that expires first. The caller reads the clock
 * right before, so that a VM resuming from a pause spends no expired token.
 *
 * @param grants - grants held
 * @param nowMs - this VM's monotonic time
 * @returns the unexpired grants, and whether a token was spent
 */
export function spendGranted(
  grants: readonly HeldGrant[],
  nowMs: number,
): SpendResult {
  const valid = grants
    .filter((held) => nowMs < held.expiresAtMs)
    .sort((a, b) => a.expiresAtMs - b.expiresAtMs);
  const first = valid.find((held) => held.unspent > 0);
  if (first === undefined) {
    return { grants: valid, isAllowed: false };
  }
  const left = { ...first, unspent: first.unspent - 1 };
  return {
    grants: valid.map((held) => held === first ? left : held),
    isAllowed: true,
  };
}

/**
 * Counts the unspent tokens of unexpired grants.
 *
 * @param grants - grants held
 * @param nowMs - this VM's monotonic time
 * @returns whole tokens, over all grants
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
 * Builds reports that return grants to the holder. The caller must drop these
 * grants.
 *
 * @param grants - grants to return
 * @returns one report per grant, also for grants without tokens left
 */
export function listReturns(
  grants: readonly HeldGrant[],
): readonly GrantReport[] {
  return grants.map(({ id, unspent }) => ({ id, unspent, isReturned: true }));
}
