/** Claim records of a shard's log stream. */

import type { TeamId } from "@limpetford/domain/ids";
import type { VmIncarnation } from "@limpetford/domain/vm";

/** An answer as it is kept for replay. */
export interface StoredResponse {
  readonly status: number;
  readonly headers: readonly (readonly [name: string, value: string])[];
  /** The body, in base64. */
  readonly body: string;
}

/** How a claimed request ended. */
export type ClaimOutcome =
  | { readonly kind: "answered"; readonly answer: StoredResponse }
  | { readonly kind: "answered-not-kept" }
  | { readonly kind: "not-run" }
  | { readonly kind: "unknown" };

/** One claim, or the end of one. */
export type ClaimItem =
  | {
    readonly kind: "claimed";
    readonly claimId: string;
    readonly team: TeamId;
    readonly idempotencyKey: string;
    readonly fingerprint: string;
    /** Wall-clock time of the claim, in milliseconds. */
    readonly claimedAtMs: number;
    /** Claim of the same key whose window is over. */
    readonly supersedes: string | undefined;
  }
  | {
    readonly kind: "settled";
    readonly claimId: string;
    readonly team: TeamId;
    readonly idempotencyKey: string;
    readonly outcome: ClaimOutcome;
  };

/** Many items in one record, so that one append records all of them. */
export interface ClaimRecord {
  readonly kind: "claims";
  readonly proposer: VmIncarnation;
  readonly items: readonly ClaimItem[];
}
