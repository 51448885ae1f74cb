/** Classes of the statuses that backend servers send (RFC 9110, 15). */

const FIRST_STATUS = 100;
const FIRST_FINAL_STATUS = 200;
const FIRST_UNSUCCESSFUL_STATUS = 300;
const LAST_STATUS = 599;

/** What the status of a response tells. */
export const STATUS_CLASS = {
  /** Another response to the same request follows. */
  interim: "interim",
  success: "success",
  failure: "failure",
  /** HTTP knows no such status, so that this is no response. */
  unknown: "unknown",
} as const;
/** One of the classes in `STATUS_CLASS`. */
export type StatusClass = typeof STATUS_CLASS[keyof typeof STATUS_CLASS];

/**
 * Decides what a status tells.
 *
 * @param status - status of a response
 * @returns its class
 */
export function decideStatusClass(status: number): StatusClass {
  if (status < FIRST_STATUS || status > LAST_STATUS) {
    return STATUS_CLASS.unknown;
  }
  if (status < FIRST_FINAL_STATUS) {
    return STATUS_CLASS.interim;
  }
  return status < FIRST_UNSUCCESSFUL_STATUS
    ? STATUS_CLASS.success
    : STATUS_CLASS.failure;
}
