/** Decides when a VM reads the store rather than learns from other VMs. */

import type { Clock } from "@limpetford/core/time/clock";
import type { RandomSource } from "@limpetford/core/time/random_source";

import {
  SUSPICION_READER,
  type SuspicionReader,
} from "./suspicions_handler.ts";
import { VM_LIST_READER, type VmListReader } from "./vms_handler.ts";

/**
 * How long after its start a VM that is not a seed does not read the store,
 * since the seeds are likely to send it the data.
 */
const SEED_HEAD_START_MS = 1_000;
/** How long after its start a VM expects to hear of crashes from others. */
const SUSPICION_HEAD_START_MS = 2_000;
/** Greatest jitter added to the share, so that VMs do not read all at once. */
const MAX_READ_JITTER_SHARE = 0.05;

/**
 * Greatest age of a VM's data before it reads the store, as a share of the time
 * within which a change must take effect. It grows with the VM's rank among the
 * readers.
 */
export interface AgeShares {
  /** Share of rank 0. */
  readonly first: number;
  /** Share of rank 1. */
  readonly later: number;
  /** Added for each further rank. */
  readonly step: number;
  /** Greatest share, which leaves time for the read. */
  readonly last: number;
}

/** Shares of the time within which a configuration must take effect. */
export const CONFIGURATION_AGE_SHARES: AgeShares = {
  first: 0,
  later: 0.6,
  step: 0.05,
  last: 0.8,
};
/** Shares of the time within which a leaving server gets no new requests. */
export const SERVERS_AGE_SHARES: AgeShares = {
  first: 0.2,
  later: 0.55,
  step: 0.1,
  last: 0.8,
};

/** What a schedule knows of the other VMs. */
export interface ReaderRanks {
  /** Computes this VM's rank among the readers; infinite if it is none. */
  readonly computeReaderRank: () => number;
  /** Checks whether this VM hears of no other. */
  readonly isIsolated: () => boolean;
}

/** Dependencies of a {@link StoreReadSchedule}. */
export interface StoreReadScheduleOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** True if other VMs ask this one first when they start. */
  readonly isSeed: boolean;
  readonly readers: ReaderRanks;
}

/** Staggers the reads of the VMs, so that one reads and the others learn. */
export class StoreReadSchedule {
  readonly #options: StoreReadScheduleOptions;
  readonly #jitterShare: number;
  readonly #startedAtMs: number;

  /**
   * Starts a schedule; its time of creation is the VM's start.
   *
   * @param options - clock, jitter and ranks
   */
  constructor(options: StoreReadScheduleOptions) {
    this.#options = options;
    this.#jitterShare = options.random.sampleUniform() * MAX_READ_JITTER_SHARE;
    this.#startedAtMs = options.clock.readMonotonicMs();
  }

  /**
   * Computes the age at which this VM must read data again.
   *
   * @param shares - shares by rank
   * @returns share of the time within which a change must take effect; infinite
   * while other VMs are likely to send the data
   */
  computeMaxAgeShare(shares: AgeShares): number {
    const { isSeed, readers } = this.#options;
    if (this.#readUptimeMs() < SEED_HEAD_START_MS && !isSeed) {
      return Infinity;
    }
    const rank = readers.computeReaderRank();
    if (rank === 0) {
      return shares.first;
    }
    return Number.isFinite(rank)
      ? Math.min(shares.last, shares.later + (rank - 1) * shares.step)
      : shares.last + this.#jitterShare;
  }

  /**
   * Decides this VM's part in reading and writing the stored suspicions.
   *
   * @returns the part; it changes with the VM's rank
   */
  decideSuspicionReader(): SuspicionReader {
    const { readers } = this.#options;
    if (readers.computeReaderRank() === 0) {
      return SUSPICION_READER.first;
    }
    return readers.isIsolated() &&
        this.#readUptimeMs() > SUSPICION_HEAD_START_MS
      ? SUSPICION_READER.isolated
      : SUSPICION_READER.none;
  }

  /**
   * Decides this VM's part in reading the VM list.
   *
   * @returns the part; it changes with the VM's rank
   */
  decideVmListReader(): VmListReader {
    const { isSeed, readers } = this.#options;
    if (this.#readUptimeMs() < SEED_HEAD_START_MS && !isSeed) {
      return VM_LIST_READER.none;
    }
    if (readers.isIsolated()) {
      return VM_LIST_READER.isolated;
    }
    return readers.computeReaderRank() === 0
      ? VM_LIST_READER.first
      : VM_LIST_READER.none;
  }

  #readUptimeMs(): number {
    return this.#options.clock.readMonotonicMs() - this.#startedAtMs;
  }
}
