/** Writes checkpoints of the configuration before the log expires its records. */

import {
  buildCheckpoint,
  type ConfigurationState,
} from "@limpetford/core/configuration/configuration_fold";
import type { Clock } from "@limpetford/core/time/clock";
import { encodeConfigurationRecord } from "@limpetford/domain/configuration_codec";
import { CONFIGURATION_STREAM } from "@limpetford/domain/configuration_record";
import type { LogService } from "@limpetford/platform/log_service";

const DEFAULT_INTERVAL_MS = 600_000;
const INTERVALS_BETWEEN_REWRITES = 6;

/** Dependencies of a {@link ConfigurationCheckpointer}. */
export interface CheckpointerOptions {
  readonly log: LogService;
  readonly clock: Clock;
  /** Minimum time between two checkpoints, in ms; default 10 minutes. */
  readonly intervalMs?: number;
}

/**
 * Writes at most one checkpoint per interval. Concurrent checkpoints of two VMs
 * are harmless, since both encode the same state.
 */
export class ConfigurationCheckpointer {
  readonly #log: LogService;
  readonly #clock: Clock;
  readonly #intervalMs: number;
  #seenOffset = -1;
  #seenAtMs: number;
  #isWriting = false;

  /**
   * Creates a checkpointer; its first interval starts now.
   *
   * @param options - log, clock and interval
   */
  constructor(options: CheckpointerOptions) {
    this.#log = options.log;
    this.#clock = options.clock;
    this.#intervalMs = options.intervalMs ?? DEFAULT_INTERVAL_MS;
    this.#seenAtMs = options.clock.readMonotonicMs();
  }

  /**
   * Appends a checkpoint to the configuration stream if one is due. It is due
   * after one interval if records follow the last checkpoint, else after six, so
   * that the last checkpoint is rewritten before the log expires it.
   *
   * @param state - the state, read to the end of the stream
   * @returns true if the log confirmed the append
   */
  async writeIfDue(state: ConfigurationState): Promise<boolean> {
    const nowMs = this.#clock.readMonotonicMs();
    if (state.checkpointOffset !== this.#seenOffset) {
      this.#seenOffset = state.checkpointOffset;
      this.#seenAtMs = nowMs;
    }
    if (this.#isWriting || !this.#isDue(state, nowMs - this.#seenAtMs)) {
      return false;
    }
    this.#isWriting = true;
    this.#seenAtMs = nowMs;
    const payload = encodeConfigurationRecord(buildCheckpoint(state));
    const result = await this.#log.append(CONFIGURATION_STREAM, [payload]);
    this.#isWriting = false;
    return result.ok;
  }

  #isDue(state: ConfigurationState, ageMs: number): boolean {
    const isChanged = state.nextOffset > state.checkpointOffset + 1;
    const intervals = isChanged ? 1 : INTERVALS_BETWEEN_REWRITES;
    return state.nextOffset > 0 && ageMs >= this.#intervalMs * intervals;
  }
}
