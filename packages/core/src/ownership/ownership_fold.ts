/** Folds the ownership records of one stream into the epoch in force. */

import { isSameIncarnation, type VmIncarnation } from "@limpetford/domain/vm";

import type { OwnershipRecord } from "./ownership_record.ts";

/** Epoch in force after a prefix of the stream. */
export interface OwnershipState {
  /** 0 before the first record. */
  readonly epoch: number;
  readonly holder: VmIncarnation | undefined;
  readonly standby: VmIncarnation | undefined;
  readonly unknownUntilMs: number;
  /**
   * False while records before the start of the fold have expired and no
   * checkpoint has been read.
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
 * Applies one record. Equal prefixes give equal states on every VM.
 *
 * @param state - state before the record
 * @param record - the record
 * @returns the same state if the record is not valid, else the next one
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
 * @param state - the epoch in force
 * @param incarnation - the run of the VM's process
 * @returns true if it is one of the pair
 */
export function isPairMember(
  state: OwnershipState,
  incarnation: VmIncarnation,
): boolean {
  return isSame(state.holder, incarnation) ||
    isSame(state.standby, incarnation);
}

/**
 * Compares two incarnations of which either may be missing.
 *
 * @param a - one incarnation
 * @param b - the other
 * @returns true if both are given and equal
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
