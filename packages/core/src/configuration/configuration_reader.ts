/**
 * Reads the log's configuration stream, also if its oldest records have
 * expired.
 */

import type { ConfigurationVersion, KeyHash } from "@limpetford/domain/ids";

import {
  type ConfigurationState,
  type FoldOutcome,
  foldRecord,
  INITIAL_CONFIGURATION_STATE,
  type LoggedRecord,
  restoreCheckpoint,
} from "./configuration_fold.ts";

/**
 * Folds records as they are read. After a gap, buffers the records until a
 * checkpoint or another VM's state makes up for the missing ones.
 */
export class ConfigurationReader {
  #state = INITIAL_CONFIGURATION_STATE;
  /** Records read after a gap, oldest first; undefined without a gap. */
  #buffered: LoggedRecord[] | undefined;
  /** Offset of the first buffered record. */
  #bufferedFrom = 0;

  /**
   * Reads the newest state.
   *
   * @returns state after the last folded record; version 0 before the first
   */
  readState(): ConfigurationState {
    return this.#state;
  }

  /**
   * Checks whether records are missing that no checkpoint has made up for.
   *
   * @returns true if the state may be out of date even after reading to the end
   */
  hasGap(): boolean {
    return this.#buffered !== undefined;
  }

  /**
   * Reads the offset at which the next read of the stream must start.
   *
   * @returns the offset after the last record folded or buffered
   */
  readNextOffset(): number {
    return this.#buffered === undefined
      ? this.#state.nextOffset
      : this.#bufferedFrom + this.#buffered.length;
  }

  /**
   * Handles the expiry of records that have not been read.
   *
   * @param oldestOffset - offset of the oldest record that can still be read
   */
  handleExpiredRecords(oldestOffset: number): void {
    if (oldestOffset > this.readNextOffset()) {
      this.#buffered = [];
      this.#bufferedFrom = oldestOffset;
    }
  }

  /**
   * Folds the next record of the stream, or buffers it after a gap.
   *
   * @param logged - record and its log offset; ignored if already folded
   * @returns effect of each record that was folded, buffered ones included
   */
  advance(logged: LoggedRecord): readonly FoldOutcome[] {
    if (logged.offset < this.readNextOffset()) {
      return [];
    }
    if (logged.offset > this.readNextOffset()) {
      this.handleExpiredRecords(logged.offset);
    }
    if (this.#buffered === undefined) {
      return [this.#foldNext(logged)];
    }
    this.#buffered.push(logged);
    return this.#closeGap(this.#buffered, logged);
  }

  /**
   * Adopts the state of another VM if it is ahead of this one.
   *
   * @param state - the other VM's state
   * @returns true if the state was adopted
   */
  restore(state: ConfigurationState): boolean {
    if (state.nextOffset <= this.#state.nextOffset) {
      return false;
    }
    this.#acceptState(state);
    const buffered = this.#buffered;
    if (buffered !== undefined && state.nextOffset >= this.#bufferedFrom) {
      this.#buffered = undefined;
      for (const logged of buffered) {
        this.#foldNext(logged);
      }
    }
    return true;
  }

  #closeGap(
    buffered: readonly LoggedRecord[],
    logged: LoggedRecord,
  ): readonly FoldOutcome[] {
    const record = logged.record;
    if (
      record?.kind !== "checkpoint" || record.upToOffset < this.#bufferedFrom
    ) {
      return [];
    }
    this.#buffered = undefined;
    this.#acceptState(restoreCheckpoint(record, logged.offset));
    const restored: FoldOutcome = {
      kind: "restored",
      version: this.#state.configuration.version,
    };
    return [restored, ...buffered.map((next) => this.#foldNext(next))];
  }

  #foldNext(logged: LoggedRecord): FoldOutcome {
    const step = foldRecord(this.#state, logged);
    this.#state = step.state;
    return step.outcome;
  }

  // Withdrawals are final and versions never go back, so that both are merged.
  #acceptState(state: ConfigurationState): void {
    const withdrawnKeys = mergeKeys(this.#state, state);
    const known = this.#state.configuration;
    this.#state = {
      ...state,
      configuration: isNewer(state.configuration.version, known.version)
        ? state.configuration
        : known,
      withdrawnKeys,
    };
  }
}

function isNewer(a: ConfigurationVersion, b: ConfigurationVersion): boolean {
  return a > b;
}

function mergeKeys(
  a: ConfigurationState,
  b: ConfigurationState,
): ReadonlySet<KeyHash> {
  return new Set([...a.withdrawnKeys, ...b.withdrawnKeys]);
}
