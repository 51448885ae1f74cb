/** A request for a slot at a backend server, with lazily computed fields. */

import type { ServerId } from "@limpetford/domain/ids";

import type { RequestContext } from "../ports/request_context.ts";
import type {
  AttemptSample,
  PlacementRequest,
  PlacementVerdict,
} from "../ports/server_router.ts";
import { EXCEPTION_SOURCE } from "../telemetry/contained_exceptions.ts";
import type { ServingPorts } from "./serving_ports.ts";

/** Retry delay told to callers if the router fails. */
const FAILED_ROUTER_RETRY_MS = 1_000;

/** Sample for a slot that is given back without being used. */
export const UNUSED_SAMPLE: AttemptSample = {
  outcome: "cancelled",
  firstByteMs: undefined,
  totalMs: 0,
  wasConnectionReused: false,
  answerBytes: 0,
  wasSent: false,
};

/** Source of the fields that are computed when they are first read. */
export interface LazyFieldSource {
  /** SHA-256 of the request; expensive for large bodies. */
  readonly fingerprint: string;
  /** Aborted when the slot is no longer needed. */
  readonly signal: AbortSignal;
}

/** Fingerprint and abort signal of one request, for all its slots. */
export class SeriesSlotFields implements LazyFieldSource {
  readonly #computeFingerprint: () => string;
  #fingerprint: string | undefined;
  #abortController: AbortController | undefined;
  /** Set when the request has ended; signals are aborted from then on. */
  hasEnded = false;

  /**
   * Creates the fields; nothing is computed yet.
   *
   * @param computeFingerprint - computes the digest of the request
   */
  constructor(computeFingerprint: () => string) {
    this.#computeFingerprint = computeFingerprint;
  }

  get fingerprint(): string {
    this.#fingerprint ??= this.#computeFingerprint();
    return this.#fingerprint;
  }

  get signal(): AbortSignal {
    this.#abortController ??= new AbortController();
    if (this.hasEnded) {
      this.#abortController.abort();
    }
    return this.#abortController.signal;
  }

  /** Ends what waits for a slot of this request. */
  abort(): void {
    this.hasEnded = true;
    this.#abortController?.abort();
  }
}

/**
 * A request for a slot. The fingerprint and the abort signal are costly to
 * create, so both are created only when they are read.
 */
export class LazySlotRequest implements PlacementRequest {
  readonly context: RequestContext;
  readonly tried: readonly ServerId[];
  readonly attempt: number;
  readonly isHedge: boolean;
  readonly #series: LazyFieldSource;

  /**
   * Prepares a request for a slot.
   *
   * @param series - source of the lazily computed fields
   * @param context - request to send
   * @param options - number of the attempt and servers that were tried before
   */
  constructor(
    series: LazyFieldSource,
    context: RequestContext,
    options: Pick<PlacementRequest, "tried" | "attempt" | "isHedge">,
  ) {
    this.#series = series;
    this.context = context;
    this.tried = options.tried;
    this.attempt = options.attempt;
    this.isHedge = options.isHedge;
  }

  get fingerprint(): string {
    return this.#series.fingerprint;
  }

  get signal(): AbortSignal {
    return this.#series.signal;
  }
}

/**
 * Acquires a slot for an attempt.
 *
 * @param ports - router that places the attempt, and reporter of what it throws
 * @param request - the attempt
 * @returns the slot, or why there is none; no server if the router fails
 */
export async function acquireSlot(
  { router, exceptions }: Pick<ServingPorts, "router" | "exceptions">,
  request: PlacementRequest,
): Promise<PlacementVerdict> {
  try {
    return await router.acquire(request);
  } catch (error) {
    exceptions?.report(EXCEPTION_SOURCE.caller, error);
    return { kind: "no-server", retryAfterMs: FAILED_ROUTER_RETRY_MS };
  }
}
