/** Records of idempotency key claims in a shard's log stream. */

import type { TeamId } from "@limpetford/domain/ids";
import type { VmIncarnation } from "@limpetford/domain/vm";

/** A backend server's response, stored to be replayed to retries. */
export interface StoredResponse {
  /** HTTP status code. */
  readonly status: number;
  readonly headers: readonly (readonly [name: string, value: string])[];
  /** Response body, encoded in base64. */
  readonly body: string;
}

/** How a claimed request ended. */
export type ClaimOutcome =
  /** A response arrived and is stored. */
  | { readonly kind: "answered"; readonly answer: StoredResponse }
  /** A response arrived but is not stored, so it cannot be replayed. */
  | { readonly kind: "answered-not-kept" }
  /** The request was certainly not executed. */
  | { readonly kind: "not-run" }
  /** The request may or may not have been executed. */
  | { readonly kind: "unknown" };

/** A claim of an idempotency key, or the end of one. */
export type ClaimItem =
  | {
    readonly kind: "claimed";
    readonly claimId: string;
    readonly team: TeamId;
    readonly idempotencyKey: string;
    readonly fingerprint: string;
    /** Wall-clock time of the claim, in milliseconds. */
    readonly claimedAtMs: number;
    /** Earlier claim of the same key whose window is over, if any. */
    readonly supersedes: string | undefined;
  }
  | {
    readonly kind: "settled";
    readonly claimId: string;
    readonly team: TeamId;
    readonly idempotencyKey: string;
    readonly outcome: ClaimOutcome;
  };

/** A batch of claim items, recorded by one append to the log. */
export interface ClaimRecord {
  readonly kind: "claims";
  readonly proposer: VmIncarnation;
  readonly items: readonly ClaimItem[];
}
