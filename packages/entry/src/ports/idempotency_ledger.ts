/** Contract of the record of requests that run at most once. */

import type { TeamId } from "@limpetford/domain/ids";
import type { SocketAddress } from "@limpetford/domain/vm";

import type { RequestContext } from "./request_context.ts";

/** A whole answer kept for replay. */
export interface ReplayableResponse {
  readonly status: number;
  readonly headers: readonly (readonly [name: string, value: string])[];
  readonly body: Uint8Array;
}

/** A request that may run at most once. */
export interface ClaimRequest {
  readonly context: RequestContext;
  readonly team: TeamId;
  /** The caller's key, or one derived from team, route and body. */
  readonly idempotencyKey: string;
  /** SHA-256 of method, target and body, in hexadecimal digits. */
  readonly fingerprint: string;
}

/** Handle of a recorded claim. */
export interface Claim {
  readonly team: TeamId;
  readonly idempotencyKey: string;
  /** Distinguishes claims of the same key after a certain not-run. */
  readonly claimId: string;
}

/** Decision on a request that may run at most once. */
export type ClaimVerdict =
  /** Claimed here: dispatch once. */
  | { readonly kind: "run"; readonly claim: Claim }
  /** Another VM holds the shard. */
  | { readonly kind: "pass-on"; readonly to: SocketAddress }
  | { readonly kind: "replay"; readonly answer: ReplayableResponse }
  | { readonly kind: "ran-answer-not-kept" }
  /** The key was used with another body. */
  | { readonly kind: "conflict" }
  /** Claimed before, and nobody can tell whether it ran. */
  | { readonly kind: "outcome-unknown" }
  /** The first request is running and did not end before the deadline. */
  | { readonly kind: "still-running"; readonly retryAfterMs: number }
  /** Certainly not run; come back later. */
  | { readonly kind: "refused"; readonly retryAfterMs: number };

/** How a claimed request ended. */
export type ClaimSettlement =
  | { readonly kind: "answered"; readonly answer: ReplayableResponse }
  /** It ran, and the answer was too large to keep. */
  | { readonly kind: "answered-not-kept" }
  /** Certainly not run: the claim is taken back. */
  | { readonly kind: "not-run" }
  | { readonly kind: "unknown" };

/**
 * Records claims before dispatch and answers after it.
 */
export abstract class IdempotencyLedger {
  /**
   * Looks the request's key up and claims it if it is new.
   *
   * @param request - the request
   * @returns the decision; waits for a first request with the same key
   */
  abstract claim(request: ClaimRequest): Promise<ClaimVerdict>;

  /**
   * Checks, immediately before the first byte, that this VM may still run the
   * claimed request.
   *
   * @param claim - the claim
   * @returns true if the request may be dispatched now
   */
  abstract mayDispatch(claim: Claim): boolean;

  /**
   * Finds the VM that a team's requests must be passed on to. Asked before the
   * rate limiter, so that the holder alone takes a token; `claim` may still
   * answer `pass-on` when the holder changes in between.
   *
   * @param _team - the team
   * @returns where the holder serves callers; undefined if it is this VM, or
   * if no holder is known
   */
  findOtherHolder(_team: TeamId): SocketAddress | undefined {
    return undefined;
  }

  /**
   * Records how the request ended.
   *
   * @param claim - the claim
   * @param settlement - the end
   */
  abstract settle(
    claim: Claim,
    settlement: ClaimSettlement,
  ): Promise<void>;
}
