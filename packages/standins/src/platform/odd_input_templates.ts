/** Documents in order, of which odd inputs are made. */

import { SOUND_ANNOUNCEMENT } from "./odd_announcements.ts";
import { PROTOCOL_TOPIC } from "./protocol_names.ts";

const ODD_VM = {
  incarnation: { vm: "vm-odd", startedAtMs: 1 },
  zone: "zone-0",
  region: "r",
  callerAddress: { host: "127.0.0.1", port: 9 },
  peerAddress: { host: "127.0.0.1", port: 9 },
  weight: 1,
};
const SUSPICION = {
  generation: 0,
  status: "suspect",
  runs: [{
    id: "r-1",
    server: "i-0",
    ranMs: 5,
    crashedAtWallMs: 1,
    wasServerRunning: true,
  }],
  writtenAtMs: 1,
};
const SUSPICION_ROW = {
  fingerprint: "odd",
  generation: 0,
  status: "suspect",
  runs: [{ id: "r-1", server: "i-0", ranMs: 5, ageMs: 1 }],
};
const LIMIT_ROW = {
  server: "i-0",
  startedAtMs: 1,
  requestsPerSecond: 1_000,
  ageMs: 1,
};

/** Topics of which each VM reads all records, with keys and a document in order. */
export const ODD_TOPICS = [
  {
    topic: PROTOCOL_TOPIC.servers,
    keys: ["i-0", "i-9", "", "__proto__", "\u0000\r\n"],
    document: SOUND_ANNOUNCEMENT,
  },
  {
    topic: "keyed.vms",
    keys: ["vm-8", "vm-9", "", "__proto__"],
    document: {
      zone: "zone-0",
      region: "r",
      caller: "127.0.0.1:9",
      peer: "127.0.0.1:9",
      startedAtMs: 1,
      cores: 1,
    },
  },
  {
    topic: "keyed.suspicions",
    keys: ["f-1", "", "__proto__"],
    document: SUSPICION,
  },
] as const;

/** Configuration whose version, 7, the test replaces. */
export const ODD_CONFIGURATION = {
  version: 7,
  routes: {
    read: {
      host: "bands.example",
      path_prefix: "/read/",
      kind: "safe",
      timeout_s: 1,
      target_latency_s: 1,
      maximum_attempts: 2,
      priority: 1,
      public: false,
      traffic_split: [{ service: "bands", weight: 1 }],
    },
    book: {
      host: "bands.example",
      path_prefix: "/book/",
      kind: "unsafe",
      timeout_s: 1,
      service: "bands",
    },
    open: {
      host: "bands.example",
      path_prefix: "/open/",
      kind: "safe",
      timeout_s: 1,
      service: "bands",
      public: true,
    },
  },
  services: { bands: { health_path: "/health", connection_limit: 100 } },
  limits: {
    maximum_header_bytes: 16_384,
    maximum_body_bytes: 1_048_576,
    header_timeout_s: 3,
    idle_timeout_s: 15,
  },
  tenants: {
    "d\r\nx: \u00e9\u{1f409}": {
      api_keys: ["key-of-dance"],
      priority: 1,
      rate_per_s: 0,
      burst: 0,
    },
  },
};

/**
 * Builds a configuration in order except for its times.
 *
 * @param version - its version
 * @param seconds - each of its times
 * @returns the document
 */
export function buildTimedConfiguration(
  version: number,
  seconds: number,
): unknown {
  const { routes, limits, tenants } = ODD_CONFIGURATION;
  const times = { timeout_s: seconds, target_latency_s: seconds };
  return {
    ...ODD_CONFIGURATION,
    version,
    routes: { read: { ...routes.read, ...times } },
    limits: { ...limits, header_timeout_s: seconds, idle_timeout_s: seconds },
    tenants: { dance: Object.values(tenants)[0] },
  };
}

/** Message of a VM of the same zone, without a configuration of its own. */
export const SYNC_MESSAGE = {
  from: "vm-odd",
  startedAtMs: 1,
  clockMs: 1,
  echo: { startedAtMs: 1, clockMs: 1 },
  record: ODD_VM,
  knowsReceiver: true,
  isLeaving: false,
  leads: [{ vm: "vm-odd", sinceMs: 1, ageMs: 1, requestsPerSecond: 1 }],
  storeEra: 0,
  configurationVersion: -1,
  configurationPosition: { era: 0, offset: 0 },
  configurationAgeMs: 1,
  servers: {
    changes: [{
      server: {
        id: "i-9",
        service: "bands",
        zone: "zone-0",
        address: { host: "127.0.0.1", port: 9 },
        slots: 1,
        state: "active",
        warmUpLeftMs: 0,
        startedAtMs: 1,
        sequence: 1,
      },
      isGone: false,
      position: { era: 0, offset: 1 },
      goneInMs: 1,
    }],
    revision: 1,
    isComplete: true,
    seenRevision: 0,
    position: { era: 0, offset: 1 },
    ageMs: 1,
  },
  vmCount: 2,
  vmListDigest: 1,
  codec: 1,
  vms: [ODD_VM],
  report: {
    evidence: [["i-0", "failure", false]],
    loads: [["i-0", 1]],
    demand: [["dance", 1]],
  },
  suspicions: {
    rows: [SUSPICION_ROW],
    revision: 1,
    seenRevision: 0,
    isComplete: true,
  },
  serverLimits: [LIMIT_ROW],
  reach: [{
    vm: "vm-odd",
    lostServices: ["bands"],
    reachedAgeMs: 1,
    ageMs: 1,
  }],
};

/** Calls between VMs, with a message in order. */
export const ODD_PEER_CALLS = [
  { path: "/exchange", document: SYNC_MESSAGE },
  {
    path: "/evidence",
    document: {
      from: "vm-odd",
      evidence: [["i-0", "failure", false]],
      suspicions: [SUSPICION_ROW],
      crashes: [["i-0", 1]],
    },
  },
  { path: "/token", document: { team: "dance" } },
  {
    path: "/server-token",
    document: { limit: LIMIT_ROW, zone: "zone-0" },
  },
  {
    path: "/server-limit",
    document: {
      server: "i-0",
      startedAtMs: 1,
      requestsPerSecond: 1_000,
      grant: { vm: "vm-0", startedAtMs: 1, clockMs: 1 },
    },
  },
] as const;
