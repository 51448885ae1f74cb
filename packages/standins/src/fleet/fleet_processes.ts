/** A fleet of bundled processes before stand-ins, on loopback addresses. */

import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";

import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";

import { generateLoopbackHost } from "../loopback_host.ts";
import {
  type CallerRequest,
  type CallerResponse,
  probeReadiness,
  resolveAddresses,
  sendRequest,
} from "../platform/caller_client.ts";
import {
  publishConfiguration,
  publishServer,
} from "../platform/published_records.ts";
import { ServerStandin } from "../platform/server_standin.ts";
import { StoreStandin } from "../platform/store_standin.ts";
import { TcpFaultProxy } from "../platform/tcp_fault_proxy.ts";
import { VmProcessHandle } from "./vm_process_handle.ts";

const CALLER_PORT = 18_001;
const READY_PORT = 18_002;
const DIRECTORY_PORT = 18_003;
const PEER_PORT = 18_004;
/** In which a process that is asked to stop has ended. */
export const GRACE_PERIOD_SECONDS = 4;
const POLL_MS = 50;
const DEFAULT_TIMEOUT_MS = 15_000;

/** Settings that all processes of a fleet share. */
export interface FleetProcessesOptions {
  readonly logLevel: "error" | "warn" | "info" | "debug";
}

/** Starts, observes and ends the processes of a fleet. */
export class FleetProcesses {
  readonly store = new StoreStandin();
  readonly servers: ServerStandin[] = [];
  readonly vms: VmProcessHandle[] = [];
  /** From each VM to the store. */
  readonly storeLinks: TcpFaultProxy[] = [];
  /** From all VMs to each backend server. */
  readonly serverLinks: TcpFaultProxy[] = [];
  readonly #options: FleetProcessesOptions;
  readonly #serverAddresses: SocketAddress[] = [];
  readonly #leaving = new Set<ServerStandin>();
  #seeds: readonly string[] = [];
  #directory = "";
  #beats: NodeJS.Timeout | undefined;
  #sequence = 0;

  /**
   * Prepares a fleet.
   *
   * @param options - severity from which its processes write lines
   */
  constructor(options: FleetProcessesOptions = { logLevel: "debug" }) {
    this.#options = options;
  }

  /**
   * Starts stand-ins and processes, and waits until all are ready.
   *
   * @param counts - backend servers, and VMs of each zone
   */
  async start(
    counts: { readonly servers: number; readonly zones: readonly number[] },
  ): Promise<void> {
    await this.store.start();
    for (let index = 0; index < counts.servers; index++) {
      const server = new ServerStandin(`i-${index}`);
      await server.start();
      const link = new TcpFaultProxy(server.address);
      this.#serverAddresses.push(await link.start());
      this.serverLinks.push(link);
      this.servers.push(server);
    }
    this.#publishServers();
    this.#beats = setInterval(() => {
      this.#publishServers();
    }, 300);
    publishConfiguration(this.store, 1);
    this.#directory = await fs.mkdtemp(path.join(os.tmpdir(), "fleet-"));
    const hosts = counts.zones.flatMap((count, zone) =>
      Array.from({ length: count }, () => ({
        host: generateLoopbackHost(),
        zone: `zone-${zone}`,
      }))
    );
    this.#seeds = hosts.slice(0, 2).map(({ host }) => `${host}:${PEER_PORT}`);
    for (const [index, { host, zone }] of hosts.entries()) {
      await this.#startVm({ id: `vm-${index}`, host, zone });
    }
    await this.waitUntil(() => this.isFleetReady());
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    clearInterval(this.#beats);
    for (const vm of this.vms) {
      vm.send("SIGKILL");
    }
    const links = [...this.storeLinks, ...this.serverLinks];
    await Promise.all(links.map((link) => link.stop()));
    await this.store.stop();
    await Promise.all(this.servers.map((server) => server.stop()));
    await fs.rm(this.#directory, { recursive: true, force: true });
  }

  /**
   * Announces that a backend server leaves, or that it is back.
   *
   * @param server - the server
   * @param isLeaving - true if it leaves
   */
  publishLeaving(server: ServerStandin, isLeaving = true): void {
    if (isLeaving) {
      this.#leaving.add(server);
    } else {
      this.#leaving.delete(server);
    }
    this.#publishServers();
  }

  /**
   * Starts a VM if it has ended.
   *
   * @param vm - the VM
   */
  async startAgain(vm: VmProcessHandle): Promise<void> {
    await this.#writeSettings(vm, { isFirstStart: false });
    if (!vm.isRunning()) {
      vm.start();
    }
  }

  /**
   * Asks whether all VMs are ready.
   *
   * @returns true if all say so
   */
  async isFleetReady(): Promise<boolean> {
    const ready = await Promise.all(this.vms.map((vm) => this.isReady(vm)));
    return ready.every(Boolean);
  }

  /**
   * Asks whether a VM is ready.
   *
   * @param vm - the VM
   * @returns true if it says so
   */
  async isReady(vm: VmProcessHandle): Promise<boolean> {
    const address = { host: vm.host, port: READY_PORT };
    return await probeReadiness(address);
  }

  /**
   * Asks a VM's directory.
   *
   * @param vm - the VM
   * @param zone - the caller's zone
   * @returns the addresses
   */
  async listAddresses(
    vm: VmProcessHandle,
    zone: string,
  ): Promise<readonly string[]> {
    return await resolveAddresses(
      { host: vm.host, port: DIRECTORY_PORT },
      zone,
    );
  }

  /**
   * Finds the VM that a directory names for a zone.
   *
   * @param zone - the zone
   * @returns the VM; the first one asked that answers decides
   */
  async findLead(zone: string): Promise<VmProcessHandle | undefined> {
    for (const vm of this.vms.filter((other) => other.zone === zone)) {
      const lead = await this.findNamedVm(vm, zone);
      if (lead !== undefined) {
        return lead;
      }
    }
    return undefined;
  }

  /**
   * Finds the VM that another VM's directory names for a zone.
   *
   * @param asked - the VM to ask
   * @param zone - the zone
   * @returns the first VM that it names
   */
  async findNamedVm(
    asked: VmProcessHandle,
    zone: string,
  ): Promise<VmProcessHandle | undefined> {
    const [address] = await this.listAddresses(asked, zone);
    return this.vms.find(({ host }) => `${host}:${CALLER_PORT}` === address);
  }

  /**
   * Sends a request to a VM as a caller.
   *
   * @param vm - the VM
   * @param request - the request
   * @returns the answer
   */
  async send(
    vm: VmProcessHandle,
    request: CallerRequest,
  ): Promise<CallerResponse> {
    return await sendRequest({ host: vm.host, port: CALLER_PORT }, request);
  }

  /**
   * Waits for a condition.
   *
   * @param check - the condition
   * @param timeoutMs - longest wait
   */
  async waitUntil(
    check: () => boolean | Promise<boolean>,
    timeoutMs = DEFAULT_TIMEOUT_MS,
  ): Promise<void> {
    const endAtMs = Date.now() + timeoutMs;
    while (!(await check())) {
      if (Date.now() > endAtMs) {
        throw new Error(
          `the condition never held\n${
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
    const settings = path.join(this.#directory, `${vm.id}.yaml`);
    const store = await link.start();
    const handle = new VmProcessHandle({ ...vm, settings, store });
    await this.#writeSettings(handle, { isFirstStart: true });
    handle.start();
    this.vms.push(handle);
  }

  async #writeSettings(
    vm: VmProcessHandle,
    start: { readonly isFirstStart: boolean },
  ): Promise<void> {
    await fs.writeFile(
      vm.settings,
      JSON.stringify({
        vm: { id: vm.id, zone: vm.zone, region: "r" },
        addresses: {
          caller: `${vm.host}:${CALLER_PORT}`,
          ready: `${vm.host}:${READY_PORT}`,
          directory: `${vm.host}:${DIRECTORY_PORT}`,
          peer: `${vm.host}:${PEER_PORT}`,
        },
        store: formatAddress(vm.store),
        seeds: this.#seeds,
        isFirstStart: start.isFirstStart,
        logLevel: this.#options.logLevel,
        bounds: {
          gracePeriodSeconds: GRACE_PERIOD_SECONDS,
          revocationSeconds: 5,
          configurationSeconds: 2,
          drainSeconds: 2,
          retryBudgetRatio: 0.2,
          retryBudgetSlack: 60,
          quotaTolerance: 0,
        },
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
          isLeaving: this.#leaving.has(server),
          sequence: this.#sequence,
        });
      }
    }
  }
}
