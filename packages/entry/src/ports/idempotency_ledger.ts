/** Interface of the store of idempotency keys and their responses. */

import type { TeamId } from "@limpetford/domain/ids";
import type { SocketAddress } from "@limpetford/domain/vm";

import type { RequestContext } from "./request_context.ts";

/** A complete response, stored to be replayed to retries of the request. */
export interface ReplayableResponse {
  readonly status: number;
  readonly headers: readonly (readonly [name: string, value: string])[];
  readonly body: Uint8Array;
}

/** A request that must run at most once, with its idempotency key. */
export interface ClaimRequest {
  readonly context: RequestContext;
  readonly team: TeamId;
  /** The key sent by the caller, or one derived from team, route and body. */
  readonly idempotencyKey: string;
  /** SHA-256 of method, target and body, in hexadecimal digits. */
  readonly fingerprint: string;
}

/** A recorded claim: the exclusive right to run the request of a key. */
export interface Claim {
  readonly team: TeamId;
  readonly idempotencyKey: string;
  /** Distinguishes a claim from an earlier one of the key that was not run. */
  readonly claimId: string;
}

/** Decision on a request that must run at most once. */
export type ClaimVerdict =
  /** Claimed for this request: dispatch it once. */
  | { readonly kind: "run"; readonly claim: Claim }
  /** Another VM holds the team's shard: forward the request to it. */
  | { readonly kind: "pass-on"; readonly to: SocketAddress }
  | { readonly kind: "replay"; readonly answer: ReplayableResponse }
  | { readonly kind: "ran-answer-not-kept" }
  /** The key was used for a request with another fingerprint. */
  | { readonly kind: "conflict" }
  /** The key was claimed before, and whether that request ran is unknown. */
  | { readonly kind: "outcome-unknown" }
  /** The first request with the key was still running at the deadline. */
  | { readonly kind: "still-running"; readonly retryAfterMs: number }
  /** Certainly not run: no holder could record the claim. */
  | { readonly kind: "refused"; readonly retryAfterMs: number };

/** How a claimed request ended. */
export type ClaimSettlement =
  | { readonly kind: "answered"; readonly answer: ReplayableResponse }
  /** It ran, but its response was too large to store. */
  | { readonly kind: "answered-not-kept" }
  /** Certainly not run: the claim is removed. */
  | { readonly kind: "not-run" }
  | { readonly kind: "unknown" };

/**
 * Records a claim of the key before a request is dispatched, and the response
 * after it, so that a non-idempotent request never runs twice.
 */
export abstract class IdempotencyLedger {
  /**
   * Looks up the idempotency key and claims it if it is new. Waits while an
   * earlier request with the same key is running.
   *
   * @param request - the request with its key
   * @returns whether to run the request, to replay a response or to refuse
   */
  abstract claim(request: ClaimRequest): Promise<ClaimVerdict>;

  /**
   * Checks that this VM may still run the claimed request. Called immediately
   * before the first byte is sent.
   *
   * @param claim - claim of the request to dispatch
   * @returns true if the request may be dispatched now
   */
  abstract mayDispatch(claim: Claim): boolean;

  /**
   * Finds the VM to which a team's requests must be forwarded. Called before the
   * rate limiter, so that only the holder takes a token; `claim` may still
   * return `pass-on` if the holder changes in between.
   *
   * @param _team - the team
   * @returns the holder's address for callers; undefined if the holder is this
   *   VM or unknown
   */
  findOtherHolder(_team: TeamId): SocketAddress | undefined {
    return undefined;
  }

  /**
   * Records how the claimed request ended.
   *
   * @param claim - claim of the ended request
   * @param settlement - the response, or whether the request ran without one
   */
  abstract settle(
    claim: Claim,
    settlement: ClaimSettlement,
  ): Promise<void>;
}
