/** Runs a fleet of bundled proxy processes against stand-ins on loopback. */

import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";

import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";
import { generateLoopbackHost } from "@limpetford/peer/fakes/loopback_host";

import {
  type CallerRequest,
  type CallerResponse,
  probeReadiness,
  resolveAddresses,
  sendRequest,
} from "../platform/caller_client.ts";
import {
  type ConfigurationOverrides,
  publishConfiguration,
  publishServer,
} from "../platform/published_records.ts";
import { ServerStandin } from "../platform/server_standin.ts";
import { type StoreCopy, StoreStandin } from "../platform/store_standin.ts";
import { TcpFaultProxy } from "../platform/tcp_fault_proxy.ts";
import { VM_BOUNDS } from "./vm_bounds.ts";
import { VM_PORTS } from "./vm_ports.ts";
import {
  type ServerLinkFault,
  VmProcessHandle,
  type VmProgram,
} from "./vm_process_handle.ts";

/** Port of every VM for its callers. */
export const CALLER_PORT = VM_PORTS.caller;
const POLL_MS = 50;
/** Time after a return of the store until the operator has written again. */
const CONFIGURATION_REWRITE_MS = 800;
const DEFAULT_TIMEOUT_MS = 15_000;

/** Settings shared by all processes of a fleet. */
export interface FleetProcessesOptions extends VmProgram {
  /** Lowest severity that the processes log. */
  readonly logLevel: "error" | "warn" | "info" | "debug";
}

/** Starts, queries and stops the processes of a fleet and its stand-ins. */
export class FleetProcesses {
  readonly store = new StoreStandin();
  readonly servers: ServerStandin[] = [];
  readonly vms: VmProcessHandle[] = [];
  /** Links from each VM to the store, by index of the VM. */
  readonly storeLinks: TcpFaultProxy[] = [];
  /** Links from all VMs to each backend server, by index of the server. */
  readonly serverLinks: TcpFaultProxy[] = [];
  readonly #options: FleetProcessesOptions;
  readonly #serverAddresses: SocketAddress[] = [];
  readonly #leavingServers = new Set<ServerStandin>();
  readonly #serverStarts = new Map<ServerStandin, number>();
  #seeds: readonly string[] = [];
  #cores: readonly number[] = [];
  #settingsDirectory = "";
  #announceTimer: NodeJS.Timeout | undefined;
  #sequence = 0;
  #configurationVersion = 0;
  #overrides: ConfigurationOverrides = {};

  /**
   * Creates a fleet without starting anything.
   *
   * @param options - settings of all processes; by default they log everything
   */
  constructor(options: FleetProcessesOptions = { logLevel: "debug" }) {
    this.#options = options;
  }

  /**
   * Starts stand-ins and processes, and waits until all VMs are ready.
   *
   * @param counts - number of backend servers, and of VMs in each zone; processor
   * cores of the VMs in their order, 1 by default
   */
  async start(
    counts: {
      readonly servers: number;
      readonly zones: readonly number[];
      readonly cores?: readonly number[];
    },
  ): Promise<void> {
    this.#cores = counts.cores ?? [];
    await this.store.start();
    for (let index = 0; index < counts.servers; index++) {
      const server = new ServerStandin(`i-${index}`);
      await server.start();
      const link = new TcpFaultProxy(server.address);
      server.outageListener = (isDown): void => {
        link.setRefusing(isDown);
      };
      this.#serverAddresses.push(await link.start());
      this.serverLinks.push(link);
      this.servers.push(server);
    }
    this.#publishServers();
    this.#announceTimer = setInterval(() => {
      this.#publishServers();
    }, 300);
    this.publishNextConfiguration();
    this.#settingsDirectory = await fs.mkdtemp(
      path.join(os.tmpdir(), "fleet-"),
    );
    const hosts = counts.zones.flatMap((count, zone) =>
      Array.from({ length: count }, () => ({
        host: generateLoopbackHost(),
        zone: `zone-${zone}`,
      }))
    );
    this.#seeds = hosts.slice(0, 2).map(({ host }) =>
      `${host}:${VM_PORTS.peer}`
    );
    for (const [index, { host, zone }] of hosts.entries()) {
      await this.#startVm({ id: `vm-${index}`, host, zone });
    }
    await this.waitUntil(() => this.isFleetReady());
  }

  /** Kills all processes, stops the stand-ins and deletes the settings. */
  async stop(): Promise<void> {
    clearInterval(this.#announceTimer);
    for (const vm of this.vms) {
      vm.sendSignal("SIGKILL");
    }
    const links = [...this.storeLinks, ...this.serverLinks];
    await Promise.all(links.map((link) => link.stop()));
    await this.store.stop();
    await Promise.all(this.servers.map((server) => server.stop()));
    await fs.rm(this.#settingsDirectory, { recursive: true, force: true });
  }

  /**
   * Announces that a backend server is leaving, or that it is ready again.
   *
   * @param server - server to announce
   * @param isLeaving - true if it drains, false if it accepts requests
   */
  publishLeaving(server: ServerStandin, isLeaving = true): void {
    if (isLeaving) {
      this.#leavingServers.add(server);
    } else {
      this.#leavingServers.delete(server);
    }
    this.#publishServers();
  }

  /**
   * Announces that a backend server has started again under its identifier.
   *
   * @param server - server to announce
   */
  publishRestart(server: ServerStandin): void {
    this.#serverStarts.set(server, Date.now());
    this.#publishServers();
  }

  /**
   * Returns the store to a copy. The operator writes its configuration again
   * after a while, and the backend servers go on announcing themselves.
   *
   * @param copy - copy of the store
   */
  returnStore(copy: StoreCopy): void {
    this.store.restore(copy);
    setTimeout(() => {
      const version = this.#configurationVersion;
      publishConfiguration(this.store, version, this.#overrides);
    }, CONFIGURATION_REWRITE_MS).unref();
  }

  /**
   * Publishes a new version of the configuration.
   *
   * @param overrides - deviations from the default configuration
   */
  publishNextConfiguration(overrides: ConfigurationOverrides = {}): void {
    const version = this.takeConfigurationVersion();
    this.#overrides = overrides;
    publishConfiguration(this.store, version, overrides);
  }

  /**
   * Takes the next version of the configuration.
   *
   * @returns the version, for the caller to publish
   */
  takeConfigurationVersion(): number {
    return ++this.#configurationVersion;
  }

  /**
   * Starts a VM's process again unless it is running. Its settings then no
   * longer mark a first start.
   *
   * @param vm - VM to start
   */
  async startIfStopped(vm: VmProcessHandle): Promise<void> {
    await this.#writeSettings(vm, { isFirstStart: false });
    if (!vm.isRunning()) {
      vm.start();
    }
  }

  /**
   * Sends a readiness probe to each VM.
   *
   * @returns true if every VM is ready
   */
  async isFleetReady(): Promise<boolean> {
    return (await Promise.all(this.vms.map((vm) => this.isReady(vm))))
      .every(Boolean);
  }

  /**
   * Sends a readiness probe to a VM.
   *
   * @param vm - VM to probe
   * @returns true if it answers that it is ready
   */
  async isReady(vm: VmProcessHandle): Promise<boolean> {
    return await probeReadiness({ host: vm.host, port: VM_PORTS.ready });
  }

  /**
   * Asks a VM's directory which addresses callers should use.
   *
   * @param vm - VM whose directory is asked
   * @param zone - the caller's zone
   * @returns caller addresses, leader first; empty unless it answers 200
   */
  async resolveAddresses(
    vm: VmProcessHandle,
    zone: string,
  ): Promise<readonly string[]> {
    const address = { host: vm.host, port: VM_PORTS.directory };
    return await resolveAddresses(address, zone);
  }

  /**
   * Finds the leader of a zone, which receives the requests of its callers.
   *
   * @param zone - zone whose VMs are asked in turn
   * @returns the leader by the first directory that names one; undefined if none
   *   does
   */
  async findLeader(zone: string): Promise<VmProcessHandle | undefined> {
    for (const vm of this.vms.filter((other) => other.zone === zone)) {
      const leader = await this.resolveLeader(vm, zone);
      if (leader !== undefined) {
        return leader;
      }
    }
    return undefined;
  }

  /**
   * Finds the leader of a zone according to one VM's directory.
   *
   * @param directoryVm - VM whose directory is asked
   * @param zone - zone to resolve
   * @returns the VM at the first address returned; undefined if there is none
   */
  async resolveLeader(
    directoryVm: VmProcessHandle,
    zone: string,
  ): Promise<VmProcessHandle | undefined> {
    const [address] = await this.resolveAddresses(directoryVm, zone);
    return this.findVm(address);
  }

  /**
   * Sets the fault of the links from some VMs to all backend servers.
   *
   * @param vms - VMs that lose the servers; the others still reach them
   * @param fault - fault to inject; `none` restores the links
   */
  setServerLinkFault(
    vms: readonly VmProcessHandle[],
    fault: ServerLinkFault,
  ): void {
    const ports = this.#serverAddresses.map(({ port }) => port);
    for (const vm of vms) {
      vm.setServerLinkFault(fault, ports);
    }
  }

  /**
   * Finds the VM that callers reach at an address.
   *
   * @param address - caller address, as a directory returns it
   * @returns the VM; undefined if there is none
   */
  findVm(address: string | undefined): VmProcessHandle | undefined {
    return this.vms.find(({ host }) => `${host}:${CALLER_PORT}` === address);
  }

  /**
   * Sends a request to a VM as a caller.
   *
   * @param vm - VM that receives the request
   * @param request - what to send
   * @returns the response; status 0 if the connection fails or ends early
   */
  async send(
    vm: VmProcessHandle,
    request: CallerRequest,
  ): Promise<CallerResponse> {
    return await sendRequest({ host: vm.host, port: CALLER_PORT }, request);
  }

  /**
   * Polls a condition until it holds.
   *
   * @param check - condition, checked every 50 ms
   * @param timeoutMs - time after which the wait fails
   * @throws Error with the end of each VM's log if the condition never holds
   */
  async waitUntil(
    check: () => boolean | Promise<boolean>,
    timeoutMs = DEFAULT_TIMEOUT_MS,
  ): Promise<void> {
    const endAtMs = Date.now() + timeoutMs;
    while (!(await check())) {
      if (Date.now() > endAtMs) {
        throw new Error(
          `timed out waiting for a condition; ends of the VMs' logs:\n${
            this.vms.map(({ log }) => log.slice(-800)).join("\n")
          }`,
        );
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }

  async #startVm(
    vm: { readonly id: string; readonly host: string; readonly zone: string },
  ): Promise<void> {
    const link = new TcpFaultProxy(this.store.address);
    this.storeLinks.push(link);
    const settingsPath = path.join(this.#settingsDirectory, `${vm.id}.yaml`);
    const storeAddress = await link.start();
    const handle = new VmProcessHandle({
      ...vm,
      cores: this.#cores[this.vms.length] ?? 1,
      settingsPath,
      storeAddress,
      program: this.#options,
    });
    await this.#writeSettings(handle, { isFirstStart: true });
    handle.start();
    this.vms.push(handle);
  }

  async #writeSettings(
    vm: VmProcessHandle,
    start: { readonly isFirstStart: boolean },
  ): Promise<void> {
    await fs.writeFile(
      vm.settingsPath,
      JSON.stringify({
        vm: { id: vm.id, zone: vm.zone, region: "r", cores: vm.cores },
        addresses: {
          caller: `${vm.host}:${CALLER_PORT}`,
          ready: `${vm.host}:${VM_PORTS.ready}`,
          directory: `${vm.host}:${VM_PORTS.directory}`,
          peer: `${vm.host}:${VM_PORTS.peer}`,
          metrics: `${vm.host}:${VM_PORTS.metrics}`,
        },
        store: formatAddress(vm.storeAddress),
        seeds: this.#seeds,
        isFirstStart: start.isFirstStart,
        logLevel: this.#options.logLevel,
        bounds: VM_BOUNDS,
      }),
    );
  }

  #publishServers(): void {
    this.#sequence += 1;
    for (const [index, server] of this.servers.entries()) {
      const address = this.#serverAddresses[index];
      if (address !== undefined) {
        publishServer(this.store, {
          id: server.id,
          address,
          isLeaving: this.#leavingServers.has(server),
          startedAtMs: this.#serverStarts.get(server) ?? 1,
          sequence: this.#sequence,
        });
      }
    }
  }
}
