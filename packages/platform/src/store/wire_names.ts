/** Topic names, paths and headers that the platform prescribes. */

/** Topics of the store that are compacted by key. */
export const TOPIC = {
  /** Published by operators; read-only for VMs. */
  operators: "keyed.op",
  /** Announcements of backend servers; read-only for VMs. */
  servers: "keyed.servers",
  /** Records of the VMs of this fleet, which they write themselves. */
  vms: "keyed.vms",
  /** Requests that may crash servers, written by the VMs themselves. */
  suspicions: "keyed.suspicions",
} as const;
/** A topic that VMs read or write. */
export type Topic = typeof TOPIC[keyof typeof TOPIC];

/** Key of the configuration record in the operators' topic. */
export const CONFIGURATION_KEY = "config";

/** Headers between callers, VMs and backend servers; names in lower case. */
export const WIRE_HEADER = {
  requestId: "request-id",
  /** Milliseconds until the deadline of the caller or VM. */
  timeLeftMs: "request-deadline",
  /** API key of the caller's team. */
  callerKey: "key",
  team: "tenant",
  /** Identifier of the server that the request is for; others refuse it. */
  expectedServer: "expected-instance",
  /** Signature that proves that a backend server made the response. */
  signature: "server-signature",
  /** Present if the backend server did not execute the request. */
  notRun: "not-executed",
  /** Requests per second that the backend server takes from all VMs together. */
  serverLimit: "server-limit",
  /** In answers to callers, and of a backend server that turns one away. */
  retryAfter: "retry-after",
  /** `1` in the responses of a backend server that is leaving. */
  serverLeaving: "server-leaving",
  /** Number of times that the store has returned from an older copy. */
  storeEra: "store-era",
} as const;

/** Paths that a VM serves on its directory and readiness addresses. */
export const VM_PATH = {
  directory: "/resolution",
  readiness: "/readiness",
} as const;
