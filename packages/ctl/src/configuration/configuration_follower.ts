/** Reads the configuration stream to its end and tracks proposal outcomes. */

import type {
  ConfigurationState,
  FoldOutcome,
} from "@limpetford/core/configuration/configuration_fold";
import { ConfigurationReader } from "@limpetford/core/configuration/configuration_reader";
import { decodeConfigurationRecord } from "@limpetford/domain/configuration_codec";
import { CONFIGURATION_STREAM } from "@limpetford/domain/configuration_record";
import type { Result } from "@limpetford/domain/result";
import { makeError, makeOk } from "@limpetford/domain/result";
import type { LogPage, LogService } from "@limpetford/platform/log_service";

import type { ConfigurationError } from "./configuration_error.ts";
import { convertReadError } from "./configuration_error.ts";

const MAX_PAGES_PER_READ = 100_000;

/** Outcome of a proposal: accepted, lost the race or invalid. */
export type ProposalOutcome = Extract<
  FoldOutcome,
  { readonly proposalId: string }
>;

/**
 * Maintains the configuration in force by replaying the log.
 */
export class ConfigurationFollower {
  readonly #log: LogService;
  readonly #reader = new ConfigurationReader();
  readonly #outcomes = new Map<string, ProposalOutcome>();

  /**
   * Creates a follower that starts at the beginning of the stream.
   *
   * @param log - log that holds the configuration stream
   */
  constructor(log: LogService) {
    this.#log = log;
  }

  /**
   * Reads all new records up to the end of the stream.
   *
   * @returns the state at the end of the stream, or the read error
   */
  async readToEnd(): Promise<Result<ConfigurationState, ConfigurationError>> {
    let hadGap = false;
    for (let pages = 0; pages < MAX_PAGES_PER_READ; pages++) {
      const page = await this.#log.read(CONFIGURATION_STREAM, {
        fromOffset: this.#reader.readNextOffset(),
      });
      if (page.ok) {
        hadGap = this.#applyPage(page.value, hadGap);
        if (this.#reader.readNextOffset() >= page.value.endOffset) {
          return hadGap
            ? makeError({ kind: "no-checkpoint" })
            : makeOk(this.#reader.readState());
        }
      } else if (page.error.kind === "records-expired") {
        this.#reader.handleExpiredRecords(page.error.oldestOffset);
        hadGap = true;
      } else {
        return makeError(convertReadError(page.error));
      }
    }
    return makeError({
      kind: "log-away",
      cause: "the end of the stream was not reached",
    });
  }

  /**
   * Finds the outcome of a proposal among the records read so far.
   *
   * @param proposalId - identifier of the proposal
   * @returns the outcome of the first record with this identifier, or undefined
   * if none has been read
   */
  findOutcome(proposalId: string): ProposalOutcome | undefined {
    return this.#outcomes.get(proposalId);
  }

  #applyPage(page: LogPage, hadGap: boolean): boolean {
    let isGapOpen = hadGap;
    for (const { offset, payload } of page.records) {
      const decoded = decodeConfigurationRecord(payload);
      const record = decoded.ok ? decoded.value : undefined;
      for (const outcome of this.#reader.advance({ offset, record })) {
        isGapOpen = false;
        this.#recordOutcome(outcome);
      }
    }
    return isGapOpen;
  }

  #recordOutcome(outcome: FoldOutcome): void {
    if ("proposalId" in outcome && !this.#outcomes.has(outcome.proposalId)) {
      this.#outcomes.set(outcome.proposalId, outcome);
    }
  }
}
