/** Interface of components that keep per-shard state at the shard's holder. */

import type { ShardId } from "@limpetford/domain/ids";

/** How this VM came to hold a shard. */
export type OwnershipOrigin =
  /** The previous holder has stopped acting and handed over its state. */
  | { readonly kind: "handover"; readonly state: Uint8Array }
  /** No VM has held the shard before. */
  | { readonly kind: "first" }
  /** The previous holder is gone; only its state in the log is left. */
  | { readonly kind: "takeover" };

/**
 * A component whose per-shard state is kept by the shard's holder.
 */
export abstract class ShardComponent {
  /** Unique name that identifies the component's state in a handover. */
  abstract readonly componentName: string;

  /**
   * Starts to keep state for a shard that this VM now holds.
   *
   * @param shard - number of the shard
   * @param origin - how this VM came to hold it, with any state handed over
   */
  abstract acquireShard(shard: ShardId, origin: OwnershipOrigin): void;

  /**
   * Stops acting for a shard and encodes its state for a planned handover.
   *
   * @param shard - number of the shard
   * @returns the state, in the form that `acquireShard` of the next holder
   * reads
   */
  abstract prepareHandover(shard: ShardId): Uint8Array;

  /**
   * Drops the state of a shard that this VM no longer holds.
   *
   * @param shard - number of the shard
   */
  abstract releaseShard(shard: ShardId): void;
}
