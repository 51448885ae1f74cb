/** A caller server with in-memory components and stand-in backend servers. */

import { SeededRandomSource } from "@limpetford/core/time/random_source";
import type { Configuration } from "@limpetford/domain/configuration";
import {
  type ConfigurationVersion,
  type RouteId,
  type ServerId,
  type ServiceId,
  type TeamId,
  toId,
  type ZoneId,
} from "@limpetford/domain/ids";
import type { Route } from "@limpetford/domain/route";
import type { SocketAddress } from "@limpetford/domain/vm";
import { FixedConfiguration } from "@limpetford/entry/fakes/fixed_configuration";
import { SimpleEntrySelector } from "@limpetford/entry/fakes/simple_entry_selector";
import { SimpleIdempotencyLedger } from "@limpetford/entry/fakes/simple_idempotency_ledger";
import { SimpleRateLimiter } from "@limpetford/entry/fakes/simple_rate_limiter";
import { SimpleServerRouter } from "@limpetford/entry/fakes/simple_server_router";
import { CallerServer } from "@limpetford/entry/http/caller_server";
import type { CallerServerOptions } from "@limpetford/entry/http/caller_server_limits";
import { hashCallerKey } from "@limpetford/entry/serving/caller_key";
import type { ServingPorts } from "@limpetford/entry/serving/serving_ports";
import { SystemClock } from "@limpetford/entry/vm/system_clock";

import { BackendStandin } from "../backend/backend_standin.ts";

/** Caller's key of the only team in the harness. */
export const HARNESS_KEY = "harness-key-0123456789";
/** Name of the only service in the harness. */
export const HARNESS_SERVICE = toId<ServiceId>("bands");

const TEAM = toId<TeamId>("weddings");
const DEADLINE_MS = 2_000;
const BODY_LIMIT_BYTES = 200_000;

/** Options of a serving harness. */
export interface HarnessOptions {
  /** Number of stand-in backend servers; default 1. */
  readonly serverCount?: number;
  /** Servers to use instead of the stand-ins that the harness starts. */
  readonly backendAddresses?: readonly SocketAddress[];
  /** Settings of the caller server that differ from its defaults. */
  readonly server?: Partial<CallerServerOptions>;
  /** Replaces or changes components before the caller server gets them. */
  readonly preparePorts?: (ports: ServingPorts) => ServingPorts;
  /** Rate limit of the team, in requests per second; default 1,000,000. */
  readonly ratePerSecond?: number;
  /** Burst of the team, in requests; default 1,000,000. */
  readonly burst?: number;
  /** Upper limit of callers' deadlines, in milliseconds; default 2,000. */
  readonly deadlineMs?: number;
  /** False to start without a configuration. */
  readonly isConfigured?: boolean;
}

/**
 * Builds the routes of the harness.
 *
 * @param deadlineMs - upper limit of callers' deadlines, in milliseconds
 * @returns an idempotent route, a non-idempotent one, one that derives its
 * idempotency keys, and one that needs no caller's key
 */
function buildRoutes(deadlineMs: number): readonly Route[] {
  const common = {
    service: HARNESS_SERVICE,
    method: "*",
    access: "team",
    isIdempotent: true,
    deadlineMs,
    bodyLimitBytes: BODY_LIMIT_BYTES,
    derivedKeyWindowMs: 0,
  } as const;
  return [
    { ...common, id: toId<RouteId>("read"), pathPrefix: "/read" },
    {
      ...common,
      id: toId<RouteId>("confirm"),
      pathPrefix: "/confirm",
      isIdempotent: false,
    },
    {
      ...common,
      id: toId<RouteId>("derived"),
      pathPrefix: "/derived",
      isIdempotent: false,
      derivedKeyWindowMs: 60_000,
    },
    {
      ...common,
      id: toId<RouteId>("open"),
      pathPrefix: "/open",
      access: "open",
    },
  ];
}

/**
 * Builds a configuration of one team and one service.
 *
 * @param servers - addresses of the backend servers
 * @param options - rate limit, burst and upper limit of deadlines
 * @returns version 1 of the configuration
 */
export function buildHarnessConfiguration(
  servers: readonly SocketAddress[],
  options: HarnessOptions = {},
): Configuration {
  return {
    version: toId<ConfigurationVersion>(1),
    services: [{
      id: HARNESS_SERVICE,
      floor: 0.5,
      falseEjectionsPerServerDay: 0.01,
      healthPath: "/health",
    }],
    servers: servers.map((address, index) => ({
      id: toId<ServerId>(`bands-${index}`),
      service: HARNESS_SERVICE,
      zone: toId<ZoneId>("amba-a"),
      address,
      slots: 1_000,
      connections: 1_000,
      state: "active",
    })),
    routes: buildRoutes(options.deadlineMs ?? DEADLINE_MS),
    teams: [{
      id: TEAM,
      ratePerSecond: options.ratePerSecond ?? 1_000_000,
      burst: options.burst ?? 1_000_000,
      weight: 1,
    }],
    keys: [{ hash: hashCallerKey(HARNESS_KEY), team: TEAM }],
  };
}

/**
 * Runs a caller server and its backend servers on loopback sockets.
 */
export class ServingHarness {
  readonly backends: readonly BackendStandin[];
  readonly configuration: FixedConfiguration;
  readonly server: CallerServer;
  readonly #options: HarnessOptions;
  #address: SocketAddress | undefined;

  /**
   * Builds the caller server and its components without starting them.
   *
   * @param options - departures from the defaults
   */
  constructor(options: HarnessOptions = {}) {
    this.#options = options;
    this.backends = Array.from(
      { length: options.backendAddresses ? 0 : options.serverCount ?? 1 },
      () => new BackendStandin(),
    );
    this.configuration = new FixedConfiguration();
    const clock = new SystemClock();
    const random = new SeededRandomSource(7);
    const ports: ServingPorts = {
      configuration: this.configuration,
      rateLimiter: new SimpleRateLimiter(this.configuration, clock),
      ledger: new SimpleIdempotencyLedger(clock),
      router: new SimpleServerRouter(this.configuration, random),
      entrySelector: new SimpleEntrySelector(() => [this.address]),
      clock,
      random,
    };
    this.server = new CallerServer(options.preparePorts?.(ports) ?? ports, {
      address: { host: "127.0.0.1", port: 0 },
      ...options.server,
    });
  }

  /**
   * Address of the caller server.
   *
   * @returns host and port
   * @throws Error if the harness has not been started
   */
  get address(): SocketAddress {
    if (this.#address === undefined) {
      throw new Error("the harness has not been started");
    }
    return this.#address;
  }

  /**
   * The first stand-in backend server.
   *
   * @returns the only one unless the options ask for more
   * @throws Error if the harness uses other backend servers
   */
  get backend(): BackendStandin {
    const [first] = this.backends;
    if (first === undefined) {
      throw new Error("the harness has no stand-in backend server");
    }
    return first;
  }

  /** Starts the backend servers, sets the configuration and starts serving. */
  async start(): Promise<void> {
    const started = await Promise.all(
      this.backends.map((backend) => backend.start()),
    );
    const addresses = this.#options.backendAddresses ?? started;
    if (this.#options.isConfigured !== false) {
      this.configuration.setConfiguration(
        buildHarnessConfiguration(addresses, this.#options),
      );
    }
    this.#address = await this.server.start();
  }

  /** Stops the caller server, then the stand-in backend servers. */
  async stop(): Promise<void> {
    await this.server.stop();
    await Promise.all(this.backends.map((backend) => backend.stop()));
  }
}
