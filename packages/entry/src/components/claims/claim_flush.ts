/** Appends claims to the log in batches, within the fleet's append budget. */

import type { FleetView } from "@limpetford/core/membership/fleet_view";
import type { Clock } from "@limpetford/core/time/clock";
import { scheduleRepeatedly, type Timers } from "@limpetford/core/time/timers";

import type { OwnedShard } from "../ownership/owned_shard.ts";
import type { OwnershipSettings } from "../ownership/ownership_settings.ts";

const MS_PER_S = 1_000;

/** Dependencies of a {@link ClaimFlush}. */
export interface ClaimFlushOptions {
  readonly clock: Clock;
  readonly timers: Timers;
  readonly fleet: FleetView;
  readonly settings: OwnershipSettings;
  /**
   * Lists the shards that this VM holds. A standby doesn't append claims; the
   * holder does.
   */
  readonly listShards: () => readonly OwnedShard[];
}

/**
 * Periodically appends the queued claims of one shard, taking the shards in
 * turn. Each append carries all claims recorded since the shard's previous one.
 */
export class ClaimFlush {
  readonly #options: ClaimFlushOptions;
  #cancelTimer: (() => void) | undefined;
  #flushedAtMs = -Infinity;
  #shardCursor = 0;

  /**
   * Creates the task; nothing is appended before {@link start}.
   *
   * @param options - clock, timers, membership view, settings and shards
   */
  constructor(options: ClaimFlushOptions) {
    this.#options = options;
  }

  /** Starts the timer that triggers the appends. */
  start(): void {
    const { timers, settings } = this.#options;
    this.#cancelTimer = scheduleRepeatedly(
      timers,
      settings.claimFlushMs,
      () => {
        this.#runTick();
      },
    );
  }

  /** Stops the timer; claims that are still queued stay so. */
  stop(): void {
    this.#cancelTimer?.();
  }

  /**
   * Computes the minimum time between two appends of this VM. It is
   * proportional to the number of VMs, so that together they stay within
   * `claimAppendsPerSecond`.
   *
   * @returns interval in milliseconds
   */
  computeIntervalMs(): number {
    const { fleet, settings } = this.#options;
    const members = Math.max(1, fleet.listMembers().length);
    return members * MS_PER_S / settings.claimAppendsPerSecond;
  }

  #runTick(): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    if (this.#flushedAtMs + this.computeIntervalMs() > nowMs) {
      return;
    }
    const shards = this.#options.listShards().filter((shard) =>
      shard.hasUnloggedItems()
    );
    this.#shardCursor += 1;
    const shard = shards[this.#shardCursor % Math.max(1, shards.length)];
    if (shard !== undefined) {
      this.#flushedAtMs = nowMs;
      void shard.flushClaims();
    }
  }
}
