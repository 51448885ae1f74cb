/** Execution outcome of a request, as reported to the caller. */

/**
 * Values of the outcome header: whether a backend server executed the request.
 * `unknown` means that it may have, so a blind retry could run it twice.
 */
export const REQUEST_OUTCOME = {
  notRun: "not-run",
  ran: "ran",
  unknown: "unknown",
} as const;
/** Whether a backend server executed a request. */
export type RequestOutcome =
  typeof REQUEST_OUTCOME[keyof typeof REQUEST_OUTCOME];
