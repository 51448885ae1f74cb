/** Runs a complete deployment in one process on real sockets. */

import { randomUUID } from "node:crypto";
import { readFile } from "node:fs/promises";
import { setTimeout as wait } from "node:timers/promises";

import { computeChanges } from "@limpetford/core/configuration/configuration_diff";
import type { ConfigurationState } from "@limpetford/core/configuration/configuration_fold";
import { explainConfigurationError } from "@limpetford/ctl/configuration/configuration_error";
import { ConfigurationPublisher } from "@limpetford/ctl/configuration/configuration_publisher";
import { readSheet } from "@limpetford/ctl/sheet/sheet_file";
import type { Configuration } from "@limpetford/domain/configuration";
import type { ConfigurationVersion } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import { SystemClock } from "@limpetford/entry/vm/system_clock";
import { HttpLogService } from "@limpetford/platform/http/http_log_service";

import { BackendStandin } from "../backend/backend_standin.ts";
import { PlatformStandin } from "../platform/platform_standin.ts";
import { CountingMetrics } from "./counting_metrics.ts";
import { DemoNetwork, NETWORK_COUNT } from "./demo_network.ts";
import type { DemoProfile } from "./demo_profile.ts";
import { DemoVm } from "./demo_vm.ts";

const SHEETS_URL = new URL("../../sheets/", import.meta.url);
const FIRST_VERSION = toId<ConfigurationVersion>(1);
const RESPONSE_DELAY_MS = 5;
const HOLDER_POLL_INTERVAL_MS = 250;
const MAX_HOLDER_POLLS = 80;

/**
 * The platform stand-in, backend servers and entry VMs of one deployment.
 */
export class DemoFleet {
  readonly profile: DemoProfile;
  readonly metrics = new CountingMetrics();
  /** Backend servers by name. */
  readonly servers = new Map<string, BackendStandin>();
  /** Running entry VMs by number. */
  readonly vms = new Map<number, DemoVm>();
  readonly #clock = new SystemClock();
  readonly #logs: HttpLogService[] = [];
  #platform: PlatformStandin | undefined;
  #network = new DemoNetwork(0);
  #origin = "";

  /**
   * Creates a deployment that is not yet running.
   *
   * @param profile - sample deployment to run
   */
  constructor(profile: DemoProfile) {
    this.profile = profile;
  }

  /**
   * The stand-in for the platform's services.
   *
   * @returns the running stand-in
   * @throws Error if the fleet has not been started
   */
  get platform(): PlatformStandin {
    if (this.#platform === undefined) {
      throw new Error("the fleet has not been started");
    }
    return this.#platform;
  }

  /**
   * Base URL of the platform stand-in.
   *
   * @returns the URL; empty before the start
   */
  get origin(): string {
    return this.#origin;
  }

  /**
   * Starts all components, publishes the sample sheet and waits until every
   * shard has a holder.
   *
   * @throws Error if the sheet is invalid, an address is in use or a shard
   * gets no holder in time
   */
  async start(): Promise<void> {
    await this.#startPlatform();
    const configuration = await this.readSampleSheet();
    for (const server of configuration.servers) {
      const { host, port } = server.address;
      const standin = new BackendStandin({ host, port });
      standin.setBehavior({
        kind: "answer",
        body: JSON.stringify({ server: server.id, free: true }),
        headers: { "content-type": "application/json" },
        delayMs: RESPONSE_DELAY_MS,
      });
      await standin.start();
      this.servers.set(server.id, standin);
    }
    await this.publish(configuration);
    for (let number = 1; number <= this.profile.vmCount; number++) {
      await this.startVm(number);
    }
    await this.#waitForHolders();
  }

  /** Stops all components. */
  async stop(): Promise<void> {
    await Promise.all([...this.vms.values()].map((vm) => vm.stop()));
    await Promise.all(this.#logs.map((log) => log.close()));
    await Promise.all([...this.servers.values()].map((s) => s.stop()));
    await this.platform.stop();
  }

  /**
   * Starts an entry VM and adds it to the fleet.
   *
   * @param number - number of the VM, from 1
   */
  async startVm(number: number): Promise<void> {
    const vm = await DemoVm.start({
      profile: this.profile,
      network: this.#network,
      number,
      platform: this.#origin,
      metrics: this.metrics,
    });
    this.vms.set(number, vm);
  }

  /**
   * Crashes an entry VM and removes it from the platform's VM list at once.
   *
   * @param vm - running VM of this fleet
   */
  async stopVm(vm: DemoVm): Promise<void> {
    this.vms.delete(vm.number);
    await vm.stop();
    this.platform.vmRows.drop(vm.name, this.#clock.readMonotonicMs());
  }

  /**
   * Drains an entry VM, then removes it from the platform's VM list.
   *
   * @param vm - running VM of this fleet
   */
  async drainVm(vm: DemoVm): Promise<void> {
    this.vms.delete(vm.number);
    await vm.drain();
    this.platform.vmRows.drop(vm.name, this.#clock.readMonotonicMs());
  }

  async #waitForHolders(): Promise<void> {
    for (let tries = 0; tries < MAX_HOLDER_POLLS; tries++) {
      const counts = [...this.vms.values()].map((vm) =>
        vm.countUnknownShards()
      );
      if (counts.every((count) => count === 0)) {
        return;
      }
      await wait(HOLDER_POLL_INTERVAL_MS);
    }
    throw new Error(
      `some shards have no known holder after ${
        MAX_HOLDER_POLLS * HOLDER_POLL_INTERVAL_MS
      } ms`,
    );
  }

  /**
   * Reads the sample sheet and moves its addresses into this run's network.
   *
   * @returns configuration to publish
   * @throws Error if the sheet is invalid
   */
  async readSampleSheet(): Promise<Configuration> {
    const bytes = await readFile(new URL(this.profile.sheetFile, SHEETS_URL));
    const sheet = readSheet(bytes, FIRST_VERSION);
    if (!sheet.ok) {
      throw new Error(`invalid sample sheet: ${JSON.stringify(sheet.error)}`);
    }
    return this.#network.convertAddresses(sheet.value);
  }

  /**
   * Creates a configuration publisher with its own connection to the log.
   *
   * @param proposer - operator name recorded in its proposals
   * @returns publisher whose connection closes when the fleet stops
   */
  createPublisher(proposer: string): ConfigurationPublisher {
    const log = new HttpLogService(this.#origin);
    this.#logs.push(log);
    return new ConfigurationPublisher({
      log,
      clock: this.#clock,
      proposer,
      generateId: randomUUID,
      wait: async (delayMs) => {
        await wait(delayMs);
      },
    });
  }

  /**
   * Reads the configuration stream up to its end.
   *
   * @returns configuration in force and withdrawn keys
   * @throws Error if the log is unavailable
   */
  async readState(): Promise<ConfigurationState> {
    const state = await this.createPublisher("demo").readState();
    if (!state.ok) {
      throw new Error(explainConfigurationError(state.error));
    }
    return state.value;
  }

  /**
   * Publishes the changes that turn the configuration in force into another.
   *
   * @param configuration - configuration that takes effect
   * @throws Error if the proposal is not accepted
   */
  async publish(configuration: Configuration): Promise<void> {
    const publisher = this.createPublisher("demo");
    const inForce = (await this.readState()).configuration;
    const published = await publisher.publish({
      basedOn: inForce.version,
      changes: computeChanges(inForce, configuration),
    });
    if (!published.ok) {
      throw new Error(explainConfigurationError(published.error));
    }
  }

  /**
   * Counts executions of requests with an idempotency key on all servers.
   *
   * @param key - idempotency key of the requests
   * @returns number of executions; above 1 if a request ran twice
   */
  countRunsOfKey(key: string): number {
    return this.#sumServers((server) => server.runsByKey.get(key) ?? 0);
  }

  /**
   * Counts executions of requests on all servers since the start.
   *
   * @returns number of executions
   */
  countRuns(): number {
    return this.#sumServers((server) => server.runCount);
  }

  async #startPlatform(): Promise<void> {
    for (let number = 0; number < NETWORK_COUNT; number++) {
      const network = new DemoNetwork(number);
      const platform = new PlatformStandin({
        clock: this.#clock,
        address: network.findPlatformAddress(this.profile),
      });
      try {
        this.#origin = await platform.start();
        this.#network = network;
        this.#platform = platform;
        return;
      } catch (error) {
        if ((error as NodeJS.ErrnoException).code !== "EADDRINUSE") {
          throw error;
        }
      }
    }
    throw new Error(
      "no free loopback network: the platform's port is in use in all of them",
    );
  }

  #sumServers(read: (server: BackendStandin) => number): number {
    return [...this.servers.values()]
      .map(read)
      .reduce((sum, count) => sum + count, 0);
  }
}
