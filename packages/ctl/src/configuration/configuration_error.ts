/** Errors of reading or changing the configuration, and their messages. */

import type { ChangeError } from "@limpetford/core/configuration/configuration_change";
import type { ConfigurationVersion } from "@limpetford/domain/ids";
import type { LogError } from "@limpetford/platform/log_service";

/** Reason why the configuration was not read or a change not confirmed. */
export type ConfigurationError =
  /** The log is unreachable; nothing was changed. */
  | { readonly kind: "log-away"; readonly cause: string }
  /** The log is rate limiting; nothing was changed. */
  | { readonly kind: "log-busy"; readonly retryAfterMs: number }
  /** Old records have expired and no checkpoint was found. */
  | { readonly kind: "no-checkpoint" }
  /** The base version is outdated: another proposal was accepted first. */
  | {
    readonly kind: "lost-race";
    readonly inForce: ConfigurationVersion;
  }
  /** The log contains the proposal, but it is invalid for every reader. */
  | { readonly kind: "invalid"; readonly error: ChangeError }
  /** The append may have succeeded; the log must be read to find out. */
  | {
    readonly kind: "outcome-unknown";
    readonly proposalId: string;
    readonly cause: string;
  };

/**
 * Converts an error of reading the log into a configuration error.
 *
 * @param error - error that the log client returned
 * @returns the corresponding configuration error
 */
export function convertReadError(error: LogError): ConfigurationError {
  switch (error.kind) {
    case "log-busy":
      return { kind: "log-busy", retryAfterMs: error.retryAfterMs };
    case "records-expired":
      return { kind: "no-checkpoint" };
    case "log-away":
    case "append-outcome-unknown":
      return { kind: "log-away", cause: error.cause };
  }
}

/**
 * Describes an error to an operator.
 *
 * @param error - error to describe
 * @returns one or two sentences, with the next step if there is one
 */
export function explainConfigurationError(error: ConfigurationError): string {
  switch (error.kind) {
    case "log-away":
      return `The log cannot be reached (${error.cause}); nothing was changed.`;
    case "log-busy":
      return `The log is busy; nothing was changed. Try again in ${error.retryAfterMs} ms.`;
    case "no-checkpoint":
      return "Old records of the configuration have expired and there is no checkpoint yet; try again when a VM has written one.";
    case "lost-race":
      return `Another change was accepted first; version ${error.inForce} is in force. Check the difference and try again.`;
    case "invalid":
      return `The fleet rejects the change: ${
        explainChangeError(error.error)
      }.`;
    case "outcome-unknown":
      return `It is not known yet whether the change takes effect (${error.cause}). Check with: limpetctl sheet status --proposal ${error.proposalId}`;
  }
}

function explainChangeError(error: ChangeError): string {
  switch (error.kind) {
    case "not-found":
      return `there is no ${error.what} ${error.id}`;
    case "dangling-reference":
      return `${error.what} ${error.id} refers to ${error.missing}, which does not exist`;
    case "route-conflict":
      return `route ${error.id} has the same method and path as another route`;
    case "key-is-withdrawn":
      return `key ${error.key} was withdrawn permanently`;
  }
}
