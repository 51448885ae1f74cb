/** Deterministic fold of the log's configuration stream. */

import type { ConfigurationRecord } from "@limpetford/domain/configuration_record";
import {
  type ConfigurationVersion,
  type KeyHash,
  toId,
} from "@limpetford/domain/ids";

import { applyChanges, type ChangeError } from "./configuration_change.ts";
import { ConfigurationTables } from "./configuration_tables.ts";

/** State that results from all records before `nextOffset`. */
export interface ConfigurationState {
  readonly configuration: ConfigurationTables;
  /** Keys that have been withdrawn, which is final. */
  readonly withdrawnKeys: ReadonlySet<KeyHash>;
  /** Offset of the first record that has not been folded. */
  readonly nextOffset: number;
  /** Offset of the newest checkpoint read; -1 if there was none. */
  readonly checkpointOffset: number;
}

/** A record with its offset in the stream; undefined if it is malformed. */
export interface LoggedRecord {
  readonly offset: number;
  readonly record: ConfigurationRecord | undefined;
}

/** Effect of a record. */
export type FoldOutcome =
  /** The proposal was applied as a new version. */
  | {
    readonly kind: "accepted";
    readonly proposalId: string;
    readonly version: ConfigurationVersion;
  }
  /** The proposal's base is not in force; another one was accepted before. */
  | {
    readonly kind: "lost-race";
    readonly proposalId: string;
    readonly inForce: ConfigurationVersion;
  }
  /** The proposal's changes do not fit its base. */
  | {
    readonly kind: "invalid";
    readonly proposalId: string;
    readonly error: ChangeError;
  }
  /** The key was withdrawn. */
  | { readonly kind: "withdrawn"; readonly key: KeyHash }
  /** A reader restored the state of a checkpoint. */
  | { readonly kind: "restored"; readonly version: ConfigurationVersion }
  /** The record did not change configuration or withdrawn keys. */
  | { readonly kind: "ignored" };

/** State after a record, and the effect of the record. */
export interface FoldStep {
  readonly state: ConfigurationState;
  readonly outcome: FoldOutcome;
}

const EMPTY_CONFIGURATION = ConfigurationTables.load({
  version: toId<ConfigurationVersion>(0),
  services: [],
  servers: [],
  routes: [],
  teams: [],
  keys: [],
});

/** State before the first record of the stream. */
export const INITIAL_CONFIGURATION_STATE: ConfigurationState = {
  configuration: EMPTY_CONFIGURATION,
  withdrawnKeys: new Set(),
  nextOffset: 0,
  checkpointOffset: -1,
};

/**
 * Folds one record into the state. The result depends only on the records and
 * their order, so that all readers arrive at the same state.
 *
 * @param state - state after all earlier records
 * @param logged - next record of the stream
 * @returns state after the record, and the effect of the record
 */
export function foldRecord(
  state: ConfigurationState,
  logged: LoggedRecord,
): FoldStep {
  if (logged.offset < state.nextOffset) {
    return { state, outcome: { kind: "ignored" } };
  }
  const advanced = { ...state, nextOffset: logged.offset + 1 };
  const record = logged.record;
  switch (record?.kind) {
    case undefined:
      return { state: advanced, outcome: { kind: "ignored" } };
    case "proposal":
      return foldProposal(advanced, record);
    case "key-withdrawn":
      return foldWithdrawal(advanced, record.key);
    case "checkpoint":
      return {
        state: { ...advanced, checkpointOffset: logged.offset },
        outcome: { kind: "ignored" },
      };
  }
}

/**
 * Restores the state of a checkpoint, for a reader that has not read the
 * records before it.
 *
 * @param checkpoint - checkpoint record
 * @param offset - offset of the checkpoint in the stream
 * @returns state from which folding continues at `upToOffset`
 */
export function restoreCheckpoint(
  checkpoint: Extract<ConfigurationRecord, { kind: "checkpoint" }>,
  offset: number,
): ConfigurationState {
  return {
    configuration: ConfigurationTables.load(checkpoint.configuration),
    withdrawnKeys: new Set(checkpoint.withdrawnKeys),
    nextOffset: checkpoint.upToOffset,
    checkpointOffset: offset,
  };
}

/**
 * Builds a checkpoint of a state.
 *
 * @param state - the state to write
 * @returns the checkpoint record to append to the log
 */
export function buildCheckpoint(
  state: ConfigurationState,
): Extract<ConfigurationRecord, { kind: "checkpoint" }> {
  return {
    kind: "checkpoint",
    upToOffset: state.nextOffset,
    configuration: state.configuration.toConfiguration(),
    withdrawnKeys: [...state.withdrawnKeys],
  };
}

function foldProposal(
  state: ConfigurationState,
  proposal: Extract<ConfigurationRecord, { kind: "proposal" }>,
): FoldStep {
  const inForce = state.configuration.version;
  if (proposal.basedOn !== inForce) {
    return {
      state,
      outcome: { kind: "lost-race", proposalId: proposal.id, inForce },
    };
  }
  const version = toId<ConfigurationVersion>(inForce + 1);
  const result = applyChanges(state, proposal.changes, version);
  if (!result.ok) {
    const error = result.error;
    return {
      state,
      outcome: { kind: "invalid", proposalId: proposal.id, error },
    };
  }
  return {
    state: { ...state, configuration: result.value },
    outcome: { kind: "accepted", proposalId: proposal.id, version },
  };
}

function foldWithdrawal(state: ConfigurationState, key: KeyHash): FoldStep {
  if (state.withdrawnKeys.has(key)) {
    return { state, outcome: { kind: "ignored" } };
  }
  const withdrawnKeys = new Set(state.withdrawnKeys).add(key);
  return {
    state: { ...state, withdrawnKeys },
    outcome: { kind: "withdrawn", key },
  };
}
