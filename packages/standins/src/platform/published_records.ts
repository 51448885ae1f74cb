/** Records that operators and backend servers publish, as they write them. */

import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";

import { PROTOCOL_TOPIC } from "./protocol_names.ts";
import type { StoreStandin } from "./store_standin.ts";

const SERVER_SLOTS = 20;

/** What differs between the configurations that tests publish. */
export interface PublishedChanges {
  /** Key of the team without a limit. */
  readonly key?: string;
  /** False to leave out all routes. */
  readonly hasRoutes?: boolean;
}

/**
 * Publishes a configuration with one service, routes whose requests may be
 * repeated, may not, or need no key, and two teams, one of them limited.
 *
 * @param store - where to
 * @param version - its version
 * @param changes - what differs
 */
export function publishConfiguration(
  store: StoreStandin,
  version: number,
  changes: PublishedChanges = {},
): void {
  const route = {
    host: "bands.example",
    timeout_s: 3,
    target_latency_s: 1,
    priority: 1,
    service: "bands",
    maximum_attempts: 2,
    public: false,
  };
  const routes = {
    read: { ...route, path_prefix: "/read/", kind: "safe" },
    book: { ...route, path_prefix: "/book/", kind: "unsafe" },
    open: { ...route, path_prefix: "/open/", kind: "safe", public: true },
  };
  const key = changes.key ?? "key-of-dance";
  store.put(PROTOCOL_TOPIC.operators, PROTOCOL_TOPIC.configurationKey, {
    version,
    routes: changes.hasRoutes === false ? {} : routes,
    services: { bands: { health_path: "/health", connection_limit: 100 } },
    limits: {
      maximum_header_bytes: 16_384,
      maximum_body_bytes: 1_048_576,
      header_timeout_s: 3,
      idle_timeout_s: 15,
    },
    tenants: {
      dance: { api_keys: [key], rate_per_s: 0, burst: 0 },
      small: { api_keys: ["key-of-small"], rate_per_s: 2, burst: 4 },
    },
  });
}

/** What a backend server says of itself. */
export interface PublishedServer {
  readonly id: string;
  readonly address: SocketAddress;
  readonly isLeaving: boolean;
  /** Grows with each of the server's records. */
  readonly sequence: number;
}

/**
 * Publishes a backend server's record.
 *
 * @param store - where to
 * @param published - the server and what it says
 */
export function publishServer(
  store: StoreStandin,
  published: PublishedServer,
): void {
  const { id, address, isLeaving, sequence } = published;
  store.put(PROTOCOL_TOPIC.servers, id, {
    service: "bands",
    address: formatAddress(address),
    zone: "zone-0",
    version: "v1",
    slots: SERVER_SLOTS,
    state: isLeaving ? "draining" : "ready",
    warmup_remaining_s: 0,
    sequence_number: sequence,
    born: 1,
  });
}
