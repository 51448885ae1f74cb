/** Store records as operators and backend servers publish them. */

import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";

import { PROTOCOL_TOPIC } from "./protocol_names.ts";
import type { StoreStandin } from "./store_standin.ts";

/** Concurrent requests that each backend server accepts. */
const SERVER_SLOTS = 20;

/** Parts of the published configuration that tests vary. */
export interface ConfigurationOverrides {
  /** API key of the team without a rate limit; default `key-of-dance`. */
  readonly key?: string;
  /** Further API keys of that team; none by default. */
  readonly moreKeys?: readonly string[];
  /** False to publish no routes; default true. */
  readonly hasRoutes?: boolean;
  /** Limit of the rate-limited team; default 2 requests/s and a burst of 4. */
  readonly limit?: {
    readonly ratePerSecond: number;
    readonly burst: number;
  };
  /** Timeout of all routes, in seconds; default 3. */
  readonly timeoutSeconds?: number;
}

/**
 * Publishes a configuration with one service, three routes (idempotent, not
 * idempotent, and without an API key) and two teams, one of them rate limited.
 *
 * @param store - store to write to
 * @param version - version of the configuration
 * @param overrides - deviations from the default configuration
 */
export function publishConfiguration(
  store: StoreStandin,
  version: number,
  overrides: ConfigurationOverrides = {},
): void {
  const route = {
    host: "bands.example",
    timeout_s: overrides.timeoutSeconds ?? 3,
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
  const key = overrides.key ?? "key-of-dance";
  const limit = overrides.limit ?? { ratePerSecond: 2, burst: 4 };
  store.put(PROTOCOL_TOPIC.operators, PROTOCOL_TOPIC.configurationKey, {
    version,
    routes: overrides.hasRoutes === false ? {} : routes,
    services: { bands: { health_path: "/health", connection_limit: 100 } },
    limits: {
      maximum_header_bytes: 16_384,
      maximum_body_bytes: 1_048_576,
      header_timeout_s: 3,
      idle_timeout_s: 15,
    },
    tenants: {
      dance: {
        api_keys: [key, ...overrides.moreKeys ?? []],
        rate_per_s: 0,
        burst: 0,
      },
      small: {
        api_keys: ["key-of-small"],
        rate_per_s: limit.ratePerSecond,
        burst: limit.burst,
      },
    },
  });
}

/** State that a backend server announces. */
export interface PublishedServer {
  readonly id: string;
  readonly address: SocketAddress;
  readonly isLeaving: boolean;
  /** Start of the server, in milliseconds; default 1. */
  readonly startedAtMs?: number;
  /** Sequence number; higher for each later record of the server. */
  readonly sequence: number;
}

/**
 * Publishes a backend server's announcement under its identifier.
 *
 * @param store - store to write to
 * @param published - state that the server announces
 */
export function publishServer(
  store: StoreStandin,
  published: PublishedServer,
): void {
  const { id, address, isLeaving, startedAtMs, sequence } = published;
  store.put(PROTOCOL_TOPIC.servers, id, {
    service: "bands",
    address: formatAddress(address),
    zone: "zone-0",
    version: "v1",
    slots: SERVER_SLOTS,
    state: isLeaving ? "draining" : "ready",
    warmup_remaining_s: 0,
    sequence_number: sequence,
    born: startedAtMs ?? 1,
  });
}
