/**
 * Rules for one idempotency key. The claim ledger and the model checker run the
 * same functions.
 */

import type { ClaimItem, ClaimOutcome } from "./claim_record.ts";

/** Claims of one idempotency key and how the last of them ended. */
export interface ClaimEntry {
  /**
   * Claims not known to have ended, in order of arrival; more than one if the
   * end of an earlier claim is learned late.
   */
  readonly openClaimIds: readonly string[];
  /** Fingerprint of the request that claimed the key. */
  readonly fingerprint: string;
  /** Wall-clock time of the newest claim, in milliseconds. */
  readonly claimedAtMs: number;
  /**
   * Last claim of the key's previous window, which this one has replaced;
   * undefined if there was none.
   */
  readonly supersedes: string | undefined;
  /** Claim that ended and its outcome; undefined until one has. */
  readonly ended:
    | { readonly claimId: string; readonly outcome: ClaimOutcome }
    | undefined;
}

/** Decision on a request that carries an idempotency key. */
export type ClaimDecision =
  /** The key is new, or its window is over: it must be claimed. */
  | { readonly kind: "claim"; readonly supersedes: string | undefined }
  /** The first request with the key is still running at this VM. */
  | { readonly kind: "wait"; readonly claimId: string }
  /** The first request with the key has ended. */
  | {
    readonly kind: "ended";
    readonly claimId: string;
    readonly outcome: ClaimOutcome;
  }
  /** The key was used with a different request. */
  | { readonly kind: "conflict" }
  /**
   * It cannot be known whether an earlier request with the key was executed.
   */
  | { readonly kind: "outcome-unknown" };

/** Input of a decision on one request. */
export interface ClaimLookup {
  /** Entry of the request's key; undefined if the key is unknown. */
  readonly entry: ClaimEntry | undefined;
  /** Fingerprint of the request. */
  readonly fingerprint: string;
  /** Tells whether the request of a claim is running at this VM. */
  readonly isRunningHere: (claimId: string) => boolean;
  /** True while there may be claims that this VM does not know of. */
  readonly mayMissClaims: boolean;
  /**
   * Time in milliseconds after a claim in which the key identifies the same
   * request; undefined for as long as the key is retained.
   */
  readonly windowMs: number | undefined;
  /** Wall-clock time, in milliseconds. */
  readonly nowMs: number;
}

/**
 * Decides what to do with a request that may be executed at most once.
 *
 * @param lookup - the request and the entry of its key
 * @returns the decision; only `claim` may lead to a dispatch
 */
export function decideClaim(lookup: ClaimLookup): ClaimDecision {
  const { entry } = lookup;
  if (entry === undefined) {
    return lookup.mayMissClaims
      ? { kind: "outcome-unknown" }
      : { kind: "claim", supersedes: undefined };
  }
  const running = entry.openClaimIds.find(lookup.isRunningHere);
  if (running === undefined && isWindowOver(entry, lookup)) {
    return { kind: "claim", supersedes: findLastClaim(entry) };
  }
  if (entry.fingerprint !== lookup.fingerprint) {
    return { kind: "conflict" };
  }
  if (entry.ended !== undefined) {
    return { kind: "ended", ...entry.ended };
  }
  return running === undefined
    ? { kind: "outcome-unknown" }
    : { kind: "wait", claimId: running };
}

/**
 * Applies one claim item to the entry of its key. Items may arrive twice and
 * from two sources, so the result does not depend on how the items of different
 * claims interleave. A key is free again only if all of its claims certainly
 * did not run.
 *
 * @param entry - entry before the item; undefined if the key is free
 * @param item - a claim or the end of one
 * @returns entry after the item; undefined if the key is free
 */
export function foldClaimItem(
  entry: ClaimEntry | undefined,
  item: ClaimItem,
): ClaimEntry | undefined {
  return item.kind === "claimed"
    ? foldClaim(entry, item)
    : foldSettlement(entry, item);
}

function foldClaim(
  entry: ClaimEntry | undefined,
  item: Extract<ClaimItem, { kind: "claimed" }>,
): ClaimEntry {
  const isSuperseding = item.supersedes !== undefined &&
    entry !== undefined && findLastClaim(entry) === item.supersedes;
  if (entry === undefined || isSuperseding) {
    return {
      openClaimIds: [item.claimId],
      fingerprint: item.fingerprint,
      claimedAtMs: item.claimedAtMs,
      supersedes: item.supersedes,
      ended: undefined,
    };
  }
  const isKnown = entry.openClaimIds.includes(item.claimId) ||
    entry.supersedes === item.claimId;
  return entry.ended !== undefined || isKnown ? entry : {
    ...entry,
    openClaimIds: [...entry.openClaimIds, item.claimId],
  };
}

function foldSettlement(
  entry: ClaimEntry | undefined,
  item: Extract<ClaimItem, { kind: "settled" }>,
): ClaimEntry | undefined {
  if (!entry?.openClaimIds.includes(item.claimId)) {
    return entry;
  }
  const { claimId, outcome } = item;
  if (outcome.kind !== "not-run") {
    return { ...entry, openClaimIds: [], ended: { claimId, outcome } };
  }
  const openClaimIds = entry.openClaimIds.filter((id) => id !== claimId);
  return openClaimIds.length === 0 ? undefined : { ...entry, openClaimIds };
}

function isWindowOver(entry: ClaimEntry, lookup: ClaimLookup): boolean {
  return lookup.windowMs !== undefined &&
    entry.claimedAtMs + lookup.windowMs <= lookup.nowMs;
}

function findLastClaim(entry: ClaimEntry): string | undefined {
  return entry.ended?.claimId ?? entry.openClaimIds.at(-1);
}
