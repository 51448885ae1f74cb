/**
 * Names as the platform's pages spell them. Kept apart from the adapter's, so
 * that a wrong name there shows in the tests through stand-ins.
 */

/** Headers, in lower case. */
export const PROTOCOL_HEADER = {
  requestId: "request-id",
  timeLeftMs: "request-deadline",
  callerKey: "key",
  team: "tenant",
  signature: "server-signature",
} as const;

/** Topics, and the key of the operators' configuration. */
export const PROTOCOL_TOPIC = {
  operators: "keyed.op",
  servers: "keyed.servers",
  configurationKey: "config",
} as const;

/** Calls that a VM answers. */
export const PROTOCOL_CALL = {
  directory: "/resolution",
  readiness: "/readiness",
} as const;
