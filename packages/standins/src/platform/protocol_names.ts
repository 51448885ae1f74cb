/**
 * Names of the platform's protocol. They duplicate those of the production
 * adapter on purpose: a misspelt name there fails the tests that use stand-ins.
 */

/** HTTP headers, in lower case. */
export const PROTOCOL_HEADER = {
  requestId: "request-id",
  timeLeftMs: "request-deadline",
  callerKey: "key",
  team: "tenant",
  signature: "server-signature",
  serverLimit: "server-limit",
  serverLeaving: "server-leaving",
} as const;

/** Topics of the store, and the key of the configuration record. */
export const PROTOCOL_TOPIC = {
  operators: "keyed.op",
  servers: "keyed.servers",
  configurationKey: "config",
} as const;

/** Paths that a VM serves besides callers' requests. */
export const PROTOCOL_PATH = {
  directory: "/resolution",
  readiness: "/readiness",
} as const;

/** Statuses that promise callers that a request has not run and never will. */
export const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];
