/** An entry VM of the demo with its clients for the platform's services. */

import { SeededRandomSource } from "@limpetford/core/time/random_source";
import type { RegionId, VmId, ZoneId } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import type { SocketAddress } from "@limpetford/domain/vm";
import { EntryVm } from "@limpetford/entry/vm/entry_vm";
import { SystemClock } from "@limpetford/entry/vm/system_clock";
import { HttpLogService } from "@limpetford/platform/http/http_log_service";
import { HttpVmList } from "@limpetford/platform/http/http_vm_list";

import type { CountingMetrics } from "./counting_metrics.ts";
import { DemoLinkFaults } from "./demo_link_faults.ts";
import type { DemoNetwork } from "./demo_network.ts";
import type { DemoProfile } from "./demo_profile.ts";

const CALLER_PORT = 8_080;
const PEER_PORT = 8_090;
const OPERATOR_PORT = 8_070;
const DRAIN_TIMEOUT_MS = 15_000;
/**
 * Time during a drain in which callers are still accepted. Shorter than the
 * time for which callers keep their list of VMs, to keep the tour short.
 */
const LINGER_MS = 2_000;

/** Deployment, addresses and metrics of a VM. */
export interface DemoVmOptions {
  readonly profile: DemoProfile;
  readonly network: DemoNetwork;
  /** Number of the VM in its deployment, from 1. */
  readonly number: number;
  /** Base URL of the platform stand-in. */
  readonly platform: string;
  readonly metrics: CountingMetrics;
}

/** Clients of the platform's services, and faults on links to other VMs. */
interface DemoVmClients {
  readonly log: HttpLogService;
  readonly list: HttpVmList;
  readonly linkFaults: DemoLinkFaults;
}

/**
 * A running entry VM together with the clients that it owns.
 */
export class DemoVm {
  readonly name: VmId;
  readonly number: number;
  readonly callerAddress: SocketAddress;
  readonly operatorAddress: SocketAddress;
  readonly peerAddress: SocketAddress;
  readonly linkFaults: DemoLinkFaults;
  readonly #entry: EntryVm;
  readonly #log: HttpLogService;
  readonly #list: HttpVmList;

  /**
   * Wraps a running VM; use {@link start} to create one.
   *
   * @param options - deployment, addresses and metrics
   * @param entry - the running VM
   * @param clients - clients to close when the VM stops
   */
  constructor(
    options: DemoVmOptions,
    entry: EntryVm,
    clients: DemoVmClients,
  ) {
    this.number = options.number;
    this.name = buildVmName(options);
    this.#entry = entry;
    this.#log = clients.log;
    this.#list = clients.list;
    this.callerAddress = entry.settings.self.callerAddress;
    this.operatorAddress = entry.settings.operatorAddress;
    this.peerAddress = entry.settings.self.peerAddress;
    this.linkFaults = clients.linkFaults;
  }

  /**
   * Starts an entry VM on its loopback address.
   *
   * @param options - deployment, addresses and metrics
   * @returns the VM, already accepting callers
   */
  static async start(options: DemoVmOptions): Promise<DemoVm> {
    const { profile, number } = options;
    const host = options.network.findVmHost(profile, number);
    const zone = profile.zones[number % profile.zones.length] ?? "";
    const log = new HttpLogService(options.platform);
    const list = new HttpVmList(options.platform);
    const linkFaults = new DemoLinkFaults();
    const entry = await EntryVm.create({
      self: {
        incarnation: { vm: buildVmName(options), startedAtMs: Date.now() },
        zone: toId<ZoneId>(zone),
        region: toId<RegionId>(profile.region),
        callerAddress: { host, port: CALLER_PORT },
        peerAddress: { host, port: PEER_PORT },
        weight: 1,
      },
      operatorAddress: { host, port: OPERATOR_PORT },
      drainTimeoutMs: DRAIN_TIMEOUT_MS,
      callerLimits: { lingerMs: LINGER_MS },
    }, {
      log,
      vmList: list,
      clock: new SystemClock(),
      random: new SeededRandomSource(number),
      metrics: options.metrics,
      linkFaults,
    });
    await entry.start();
    return new DemoVm(options, entry, { log, list, linkFaults });
  }

  /**
   * Counts the shards whose holder this VM does not know.
   *
   * @returns number of shards; 0 once ownership is known completely
   */
  countUnknownShards(): number {
    return this.#entry.countUnknownShards();
  }

  /** Shuts down gracefully: finishes requests in flight, then stops. */
  async drain(): Promise<void> {
    await this.#entry.drain();
    await this.#closeClients();
  }

  /** Stops at once without draining, as in a crash. */
  async stop(): Promise<void> {
    await this.#entry.stop();
    await this.#closeClients();
  }

  async #closeClients(): Promise<void> {
    await this.#log.close();
    await this.#list.close();
  }
}

function buildVmName(options: DemoVmOptions): VmId {
  return toId<VmId>(`${options.profile.name}-vm-${options.number}`);
}
