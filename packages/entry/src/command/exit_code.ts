/** Exit codes of the process. */

/** Exit codes of all commands of the `limpetford` binary. */
export const EXIT_CODE = {
  /** Stopped without aborting a request, or the checked settings are valid. */
  stopped: 0,
  /** Requests were aborted, or the process could not start. */
  failed: 1,
  /** The settings are invalid or missing. */
  invalidSettings: 2,
} as const;
