/** Folds the ownership records of one shard's log into its current epoch. */

import { isSameIncarnation, type VmIncarnation } from "@limpetford/domain/vm";

import type { OwnershipRecord } from "./ownership_record.ts";

/** Ownership of a shard after a prefix of its log stream. */
export interface OwnershipState {
  /** Epoch in force; 0 before the first record. */
  readonly epoch: number;
  readonly holder: VmIncarnation | undefined;
  readonly standby: VmIncarnation | undefined;
  /**
   * Wall-clock time in milliseconds until which unknown idempotency keys are
   * refused, the latest of all records; 0 for none.
   */
  readonly unknownUntilMs: number;
  /**
   * True if the epoch in force is known. False if the oldest records of the
   * stream had expired and no valid record has been read since.
   */
  readonly isEpochKnown: boolean;
}

/** State before the first record of a stream. */
export const NO_OWNERSHIP: OwnershipState = {
  epoch: 0,
  holder: undefined,
  standby: undefined,
  unknownUntilMs: 0,
  isEpochKnown: true,
};

/**
 * Applies one record. Deterministic: equal prefixes of the stream give equal
 * states on every VM.
 *
 * @param state - state before the record
 * @param record - next ownership record of the stream
 * @returns the state after it; the same object if the record is not valid
 */
export function foldOwnership(
  state: OwnershipState,
  record: OwnershipRecord,
): OwnershipState {
  if (!isValidRecord(state, record)) {
    return state;
  }
  return {
    epoch: record.epoch,
    holder: record.holder,
    standby: record.standby,
    unknownUntilMs: Math.max(state.unknownUntilMs, record.unknownUntilMs),
    isEpochKnown: true,
  };
}

/**
 * Checks whether a VM is the holder or the standby of the epoch in force.
 *
 * @param state - ownership of the shard
 * @param incarnation - the VM, identified by one run of its process
 * @returns true if it is the holder or the standby
 */
export function isPairMember(
  state: OwnershipState,
  incarnation: VmIncarnation,
): boolean {
  return isSame(state.holder, incarnation) ||
    isSame(state.standby, incarnation);
}

/**
 * Compares two incarnations, either of which may be undefined.
 *
 * @param a - first incarnation
 * @param b - second incarnation
 * @returns true if both are defined and equal
 */
export function isSame(
  a: VmIncarnation | undefined,
  b: VmIncarnation | undefined,
): boolean {
  return a !== undefined && b !== undefined && isSameIncarnation(a, b);
}

function isValidRecord(
  state: OwnershipState,
  record: OwnershipRecord,
): boolean {
  if (record.change === "checkpoint") {
    return record.epoch > state.epoch;
  }
  if (record.basedOn !== state.epoch || record.epoch <= state.epoch) {
    return false;
  }
  switch (record.change) {
    case "claim":
      return isSame(record.proposer, record.holder) &&
        !isPairMember(state, record.proposer);
    case "takeover":
      return isSame(record.proposer, state.standby) &&
        isSame(record.proposer, record.holder);
    case "replace-standby":
      return isSame(record.proposer, state.holder) &&
        isSame(record.proposer, record.holder);
  }
}
