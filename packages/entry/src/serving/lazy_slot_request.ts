/** A request for a slot at a backend server, with lazily computed fields. */

import type { ServerId } from "@limpetford/domain/ids";

import type { RequestContext } from "../ports/request_context.ts";
import type {
  AttemptSample,
  PlacementRequest,
  PlacementVerdict,
  ServerRouter,
} from "../ports/server_router.ts";

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
 * @param router - places the attempt
 * @param request - the attempt
 * @returns the slot, or why there is none; no server if the router fails
 */
export async function acquireSlot(
  router: ServerRouter,
  request: PlacementRequest,
): Promise<PlacementVerdict> {
  try {
    return await router.acquire(request);
  } catch {
    return { kind: "no-server", retryAfterMs: FAILED_ROUTER_RETRY_MS };
  }
}
