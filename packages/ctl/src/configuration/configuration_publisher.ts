/** Publishes configuration changes by appending proposals to the log. */

import type { ConfigurationState } from "@limpetford/core/configuration/configuration_fold";
import type { Clock } from "@limpetford/core/time/clock";
import { encodeConfigurationRecord } from "@limpetford/domain/configuration_codec";
import type {
  ConfigurationChange,
  ConfigurationRecord,
} from "@limpetford/domain/configuration_record";
import { CONFIGURATION_STREAM } from "@limpetford/domain/configuration_record";
import type { ConfigurationVersion, KeyHash } from "@limpetford/domain/ids";
import type { Result } from "@limpetford/domain/result";
import { makeError, makeOk } from "@limpetford/domain/result";
import type { LogError, LogService } from "@limpetford/platform/log_service";

import type { ConfigurationError } from "./configuration_error.ts";
import type { ProposalOutcome } from "./configuration_follower.ts";
import { ConfigurationFollower } from "./configuration_follower.ts";

/** Dependencies and settings of a publisher. */
export interface ConfigurationPublisherOptions {
  readonly log: LogService;
  readonly clock: Clock;
  /** Name of the operator, shown to other operators. */
  readonly proposer: string;
  /** Generates unique proposal identifiers. */
  readonly generateId: () => string;
  /** Waits between append attempts. */
  readonly wait: (delayMs: number) => Promise<void>;
  /** Append attempts while the outcome is unknown; default 5. */
  readonly maxAppendAttempts?: number;
}

/** Changes to propose together, and their base version. */
export interface ChangeSet {
  readonly basedOn: ConfigurationVersion;
  readonly changes: readonly ConfigurationChange[];
}

const DEFAULT_MAX_APPEND_ATTEMPTS = 5;
const APPEND_RETRY_DELAY_MS = 500;

/**
 * Proposes configuration changes and reports their outcomes.
 */
export class ConfigurationPublisher {
  readonly #options: ConfigurationPublisherOptions;
  readonly #follower: ConfigurationFollower;

  /**
   * Creates a publisher.
   *
   * @param options - log, clock, operator name and retry settings
   */
  constructor(options: ConfigurationPublisherOptions) {
    this.#options = options;
    this.#follower = new ConfigurationFollower(options.log);
  }

  /**
   * Reads the configuration in force.
   *
   * @returns the state at the end of the stream, or the read error
   */
  async readState(): Promise<Result<ConfigurationState, ConfigurationError>> {
    return await this.#follower.readToEnd();
  }

  /**
   * Finds the outcome of a proposal by any operator.
   *
   * @param proposalId - identifier of the proposal
   * @returns the outcome, or undefined if the log does not contain the proposal
   */
  async findOutcome(
    proposalId: string,
  ): Promise<Result<ProposalOutcome | undefined, ConfigurationError>> {
    const state = await this.#follower.readToEnd();
    return state.ok ? makeOk(this.#follower.findOutcome(proposalId)) : state;
  }

  /**
   * Proposes changes. A record that is appended again after a lost response
   * takes effect only once, because its base version is then outdated.
   *
   * @param changeSet - changes and their base version
   * @returns the resulting version, or the reason why there is none
   */
  async publish(
    changeSet: ChangeSet,
  ): Promise<Result<ConfigurationVersion, ConfigurationError>> {
    const id = this.#options.generateId();
    const record: ConfigurationRecord = {
      kind: "proposal",
      id,
      basedOn: changeSet.basedOn,
      proposer: this.#options.proposer,
      proposedAtMs: this.#options.clock.readWallMs(),
      changes: changeSet.changes,
    };
    const appended = await this.#appendWithRetries(
      record,
      () => this.#follower.findOutcome(id) !== undefined,
    );
    if (!appended.ok) {
      return makeError(convertAppendError(appended.error, id));
    }
    const state = await this.#follower.readToEnd();
    const outcome = this.#follower.findOutcome(id);
    if (outcome === undefined) {
      const cause = state.ok
        ? "the record cannot be read"
        : "the log became unavailable";
      return makeError({ kind: "outcome-unknown", proposalId: id, cause });
    }
    return convertOutcome(outcome);
  }

  /**
   * Withdraws a key permanently, independently of the version in force.
   *
   * @param key - SHA-256 hash of the key
   * @returns success once the log contains the withdrawal, or the error
   */
  async withdrawKey(
    key: KeyHash,
  ): Promise<Result<undefined, ConfigurationError>> {
    const record: ConfigurationRecord = { kind: "key-withdrawn", key };
    const appended = await this.#appendWithRetries(record, () => false);
    return appended.ok
      ? makeOk(undefined)
      : makeError(convertAppendError(appended.error, key));
  }

  async #appendWithRetries(
    record: ConfigurationRecord,
    isInLog: () => boolean,
  ): Promise<Result<undefined, LogError>> {
    const payload = encodeConfigurationRecord(record);
    const attempts = this.#options.maxAppendAttempts ??
      DEFAULT_MAX_APPEND_ATTEMPTS;
    let mayBeInLog = false;
    let error: LogError = {
      kind: "log-away",
      cause: "no append was attempted",
    };
    for (let attempt = 0; attempt < attempts; attempt++) {
      const { log } = this.#options;
      const appended = await log.append(CONFIGURATION_STREAM, [payload]);
      if (appended.ok) {
        return makeOk(undefined);
      }
      const { kind } = appended.error;
      mayBeInLog ||= kind === "append-outcome-unknown";
      if (!mayBeInLog) {
        return makeError(appended.error);
      }
      error = kind === "append-outcome-unknown"
        ? appended.error
        : { kind: "append-outcome-unknown", cause: kind };
      await this.#follower.readToEnd();
      if (isInLog()) {
        return makeOk(undefined);
      }
      await this.#options.wait(APPEND_RETRY_DELAY_MS);
    }
    return makeError(error);
  }
}

function convertOutcome(
  outcome: ProposalOutcome,
): Result<ConfigurationVersion, ConfigurationError> {
  switch (outcome.kind) {
    case "accepted":
      return makeOk(outcome.version);
    case "lost-race":
      return makeError({ kind: "lost-race", inForce: outcome.inForce });
    case "invalid":
      return makeError({ kind: "invalid", error: outcome.error });
  }
}

function convertAppendError(
  error: LogError,
  proposalId: string,
): ConfigurationError {
  switch (error.kind) {
    case "log-away":
      return { kind: "log-away", cause: error.cause };
    case "log-busy":
      return { kind: "log-busy", retryAfterMs: error.retryAfterMs };
    case "append-outcome-unknown":
      return { kind: "outcome-unknown", proposalId, cause: error.cause };
    case "records-expired":
      return { kind: "log-away", cause: "records expired" };
  }
}
