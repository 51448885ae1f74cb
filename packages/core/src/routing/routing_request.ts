/** Requests for a slot at a backend server, and the verdicts on them. */

import type { RouteId, ServerId, TeamId } from "@limpetford/domain/ids";
import type { BackendServer } from "@limpetford/domain/service";

import type { AttemptSample } from "../evidence/attempt_sample.ts";

/** A request for a slot for one attempt. */
export interface RoutingRequest {
  /** Identifies repetitions of the same request, to track suspects. */
  readonly fingerprint: string;
  readonly route: RouteId;
  readonly team: TeamId | undefined;
  /** The team's weight in the fair queue. */
  readonly weight: number;
  readonly isIdempotent: boolean;
  /** Monotonic time, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Servers that earlier attempts were sent to; not chosen again. */
  readonly tried: readonly ServerId[];
  /** 1 for the first attempt. */
  readonly attempt: number;
  /** True for a second attempt sent while the first one is still running. */
  readonly isHedge: boolean;
}

/** A slot at a server, taken for one attempt. */
export interface SlotLease {
  readonly server: BackendServer;
  /** Most connections that this VM may keep open to the server. */
  readonly connectionLimit: number;
  /**
   * Releases the slot. Must be called exactly once.
   *
   * @param sample - outcome and timing of the attempt
   */
  complete(sample: AttemptSample): void;
}

/** Verdict on a request for a slot. */
export type RoutingVerdict =
  | { readonly kind: "placed"; readonly lease: SlotLease }
  | { readonly kind: "overloaded"; readonly retryAfterMs: number }
  | { readonly kind: "quarantined"; readonly retryAfterMs: number }
  | { readonly kind: "no-server"; readonly retryAfterMs: number };
