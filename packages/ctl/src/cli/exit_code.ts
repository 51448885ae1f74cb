/** Exit codes of limpetctl; see docs/operators/limpetctl.md. */

/** Exit codes and their meanings. */
export const EXIT_CODE = {
  success: 0,
  /** Invalid arguments or settings. */
  usage: 1,
  /** The sheet is invalid, or the requested item does not exist. */
  invalidOrNotFound: 2,
  /** Another operator's change was accepted first, or this one is invalid. */
  rejected: 3,
  /** The platform or VMs cannot be reached; nothing was changed. */
  unavailable: 4,
  /** It is not known yet whether the change takes effect. */
  outcomeUnknown: 5,
  /** In force at VMs but not in the log; retry when the log is available. */
  partial: 6,
} as const;
/** Numeric exit code of a command. */
export type ExitCode = typeof EXIT_CODE[keyof typeof EXIT_CODE];
