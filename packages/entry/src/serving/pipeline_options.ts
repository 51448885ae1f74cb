/** Memory limits of serving requests, and their defaults. */

/** Default of `bodyBudgetBytes`. */
export const DEFAULT_BODY_BUDGET_BYTES = 67_108_864;
/** Default of `streamAboveBytes`. */
export const DEFAULT_STREAM_ABOVE_BYTES = 65_536;
/** Default of `keptAnswerBytes`. */
export const DEFAULT_STORED_RESPONSE_BYTES = 65_536;

/** Memory limits of serving requests. */
export interface PipelineOptions {
  /** Memory for all buffered request bodies, in bytes; default 64 MiB. */
  readonly bodyBudgetBytes?: number;
  /**
   * Size in bytes above which request bodies are streamed instead of buffered
   * on idempotent routes; default 64 KiB.
   */
  readonly streamAboveBytes?: number;
  /** Maximum response body kept for replay, in bytes; default 64 KiB. */
  readonly keptAnswerBytes?: number;
  /**
   * Memory that open requests and connections may hold, in bytes; no limit by
   * default.
   */
  readonly heldBytes?: number;
}
