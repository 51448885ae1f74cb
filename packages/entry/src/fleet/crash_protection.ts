/** Wires what keeps requests from crashing server after server. */

import { SUSPICION_STATUS } from "@limpetford/core/quarantine/suspicion";
import { SuspicionRegistry } from "@limpetford/core/quarantine/suspicion_registry";
import type { Clock } from "@limpetford/core/time/clock";
import type { ServerId } from "@limpetford/domain/ids";
import type { StoreClient } from "@limpetford/platform/store/store_client";

import type { ContainedExceptions } from "../telemetry/contained_exceptions.ts";
import type { PrometheusMetrics } from "../telemetry/prometheus_metrics.ts";
import type { ConnectProbe } from "./connect_probe.ts";
import { CrashGuard } from "./crash_guard.ts";
import type { ServerCrash, ServerStart } from "./crash_observer.ts";
import type { FleetLog } from "./fleet_log.ts";
import { SuspicionSync } from "./suspicion_sync.ts";
import {
  type SuspicionReader,
  SuspicionsHandler,
} from "./suspicions_handler.ts";

/**
 * Longest time after its start for which a VM waits for the requests that the
 * store keeps. While neither the store nor an informed VM can be reached,
 * callers are worth more than the few servers that a request could crash.
 */
const MAX_UNINFORMED_MS = 2_000;

/** Dependencies of a {@link CrashProtection}. */
export interface CrashProtectionOptions {
  readonly probe: ConnectProbe;
  /** Finds out whether this VM reaches other servers, if one refuses it. */
  readonly verifyLinks: (server: ServerId) => Promise<boolean>;
  /** Finds the present start of a server; undefined if not known. */
  readonly findStart: (server: ServerId) => ServerStart | undefined;
  readonly client: StoreClient;
  readonly clock: Clock;
  readonly log: FleetLog;
  /** Receives what probes and writes throw; the next ones follow. */
  readonly exceptions: ContainedExceptions;
  /** Reads this VM's part in reading and writing the store. */
  readonly readReader: () => SuspicionReader;
  /** Called when there is something to tell the other VMs at once. */
  readonly notifyNews: () => void;
  /** Called once, when this VM need no longer refuse callers after its start. */
  readonly handleInformed: () => void;
}

/** The parts of one VM that detect, share and store crashing requests. */
export class CrashProtection {
  readonly registry = new SuspicionRegistry();
  readonly guard: CrashGuard;
  readonly suspicions: SuspicionSync;
  readonly handler: SuspicionsHandler;
  readonly #options: CrashProtectionOptions;
  readonly #startedAtMs: number;
  #isUninformed = false;

  /**
   * Creates the parts; they know of no crash.
   *
   * @param options - probe, store client, clock and log
   */
  constructor(options: CrashProtectionOptions) {
    const { registry } = this;
    const { clock, log } = options;
    this.#options = options;
    this.#startedAtMs = clock.readMonotonicMs();
    this.suspicions = new SuspicionSync({
      registry,
      clock,
      log,
      handleInformed: options.handleInformed,
      handlePeerCrash: (server, atMs) => {
        this.guard.observePeerCrash(server, atMs);
      },
    });
    this.handler = new SuspicionsHandler({
      ...options,
      registry,
      suspicions: this.suspicions,
    });
    this.guard = new CrashGuard({
      ...options,
      registry,
      handleCrash: (crash) => {
        this.#handleCrash(crash);
      },
    });
  }

  /** Drops what is no longer needed, and writes what the store lacks. */
  update(): void {
    this.#checkInformed();
    this.guard.update(this.#options.findStart);
    const nowMs = this.#options.clock.readMonotonicMs();
    this.registry.settle(nowMs);
    this.registry.expire(nowMs);
    this.suspicions.dropExpired();
    void this.handler.writeMissing();
  }

  /**
   * Registers gauges of suspect and quarantined requests.
   *
   * @param metrics - registry that serves them
   */
  addGauges(metrics: PrometheusMetrics): void {
    metrics.addGauge(
      "suspect_requests",
      "requests in flight at a server's crash and not served since",
      () => this.registry.count(SUSPICION_STATUS.suspect),
    );
    metrics.addGauge(
      "quarantined_requests",
      "requests that do not run because they crash servers",
      () => this.registry.count(SUSPICION_STATUS.quarantined),
    );
  }

  #checkInformed(): void {
    const { clock, log, handleInformed } = this.#options;
    const waitedMs = clock.readMonotonicMs() - this.#startedAtMs;
    const hasWaited = !this.suspicions.isInformed &&
      waitedMs > MAX_UNINFORMED_MS;
    if (hasWaited && !this.#isUninformed) {
      this.#isUninformed = true;
      log.record("suspicions-unknown", { waitedMs: Math.round(waitedMs) });
      handleInformed();
    }
  }

  #handleCrash({ server, attempts }: ServerCrash): void {
    this.suspicions.recordCrash(server);
    for (const { fingerprint } of attempts) {
      this.handler.recordObserved(fingerprint);
    }
    this.#options.notifyNews();
  }
}
