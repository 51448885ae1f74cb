/** Interface of the load balancer that selects backend servers. */

import type {
  AttemptOutcome,
  AttemptSample,
} from "@limpetford/core/evidence/attempt_sample";
import type { ServerId, ServiceId } from "@limpetford/domain/ids";
import type { ServerNotice } from "@limpetford/domain/server_notice";
import type { BackendServer } from "@limpetford/domain/service";

import type { RequestContext } from "./request_context.ts";

export type { AttemptOutcome, AttemptSample };

/** A concurrency slot at a backend server, acquired for one attempt. */
export interface Placement {
  /** The backend server, or the VM that a request is forwarded to. */
  readonly server: BackendServer;
  /** True if the request goes to another VM, which sends it to a server. */
  readonly isForwarded?: boolean;
  /**
   * True for an attempt that may crash the server: a new connection proves that
   * the server was running when it was sent.
   */
  readonly needsNewConnection?: boolean;
  /**
   * Checks before the request is sent that the server has not left since it was
   * chosen; absent if the router does not follow it.
   *
   * @returns false if the request must go to another server
   */
  readonly isServerInUse?: () => boolean;
  /**
   * Releases the slot. Must be called exactly once.
   *
   * @param sample - outcome and latency of the attempt
   */
  complete(sample: AttemptSample): void;
  /**
   * Observes what the server's response says of its state; absent if the router
   * does not follow it.
   *
   * @param notice - state according to the response
   */
  observeNotice?(notice: ServerNotice): void;
  /**
   * Finds out whether the server accepts connections; absent if the router has no
   * way to know.
   *
   * @returns false if it refuses them or does not answer
   */
  readonly verifyServer?: () => Promise<boolean>;
}

/** Decision on the request for a slot. */
export type PlacementVerdict =
  | { readonly kind: "placed"; readonly placement: Placement }
  /** Certainly not run: no slot became free while the request could wait. */
  | { readonly kind: "overloaded"; readonly retryAfterMs: number }
  /** Certainly not run: the request has crashed servers. */
  | { readonly kind: "quarantined"; readonly retryAfterMs: number }
  /** Certainly not run: this VM stops before the request may have ended. */
  | { readonly kind: "vm-stopping"; readonly retryAfterMs: number }
  /** Certainly not run: no server accepts new requests. */
  | { readonly kind: "no-server"; readonly retryAfterMs: number };

/** An attempt that needs a slot at a backend server. */
export interface PlacementRequest {
  readonly context: RequestContext;
  /** Equal for equal requests; identifies a request in quarantine. */
  readonly fingerprint: string;
  /** Servers to which this request has already been sent. */
  readonly tried: readonly ServerId[];
  /** Number of this attempt, from 1. */
  readonly attempt: number;
  /** True for a second attempt sent while the first is running. */
  readonly isHedge: boolean;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Decision on a retry after a failed attempt. */
export type RetryVerdict =
  | { readonly kind: "retry"; readonly delayMs: number }
  | { readonly kind: "give-up" };

/** A failed attempt, and whether the server may have run the request. */
export interface FailedAttempt {
  readonly request: PlacementRequest;
  readonly sample: AttemptSample;
  /** True if the request certainly did not run. */
  readonly isCertainlyNotRun: boolean;
}

/**
 * Selects backend servers, queues requests for their slots, and decides on
 * retries and hedges.
 */
export abstract class ServerRouter {
  /**
   * Acquires a slot, after a wait in the team's queue if none is free.
   *
   * @param request - attempt that needs a slot
   * @returns the slot, or the reason for the refusal
   */
  abstract acquire(request: PlacementRequest): Promise<PlacementVerdict>;

  /**
   * Decides whether to retry a failed attempt, within the retry budget.
   *
   * @param attempt - the failed attempt
   * @returns the delay before the retry, or `give-up`
   */
  abstract planRetry(attempt: FailedAttempt): RetryVerdict;

  /**
   * Computes when to send a hedge, a second attempt beside the running one.
   *
   * @param request - the running attempt
   * @returns milliseconds after its dispatch; undefined for no hedge
   */
  abstract planHedgeMs(request: PlacementRequest): number | undefined;

  /**
   * Describes the state of a service's backend servers at this VM.
   *
   * @param _service - the service
   * @returns a status for operators that can be serialized as JSON
   */
  describeService(_service: ServiceId): unknown {
    return undefined;
  }

  /**
   * Lists the requests that are refused because they have crashed servers.
   *
   * @returns fingerprints of the quarantined requests
   */
  listQuarantined(): readonly string[] {
    return [];
  }

  /**
   * Releases a request from quarantine on all VMs.
   *
   * @param _fingerprint - the request
   * @returns true if the request was quarantined
   */
  withdrawQuarantine(_fingerprint: string): boolean {
    return false;
  }
}
