/** Runs all components of one entry VM. */

import { type ShardId, toId } from "@limpetford/domain/ids";
import type { SocketAddress, Vm } from "@limpetford/domain/vm";

import { ENTRIES_VALID_MS } from "../components/ownership/ownership_entry_selector.ts";
import { CallerServer } from "../http/caller_server.ts";
import { InputLimiter } from "../http/input_limiter.ts";
import { OperatorServer } from "../http/operator_server.ts";
import { resolvePort } from "./free_port.ts";
import type { VmDependencies } from "./vm_dependencies.ts";
import { VmOperatorSource } from "./vm_operator_source.ts";
import { buildVmParts, type VmParts } from "./vm_parts.ts";
import type { VmSettings } from "./vm_settings.ts";

/**
 * An entry VM: its components, the server for callers and the server for
 * operators. Several can run in one process.
 */
export class EntryVm {
  readonly settings: VmSettings;
  readonly parts: VmParts;
  readonly callerServer: CallerServer;
  readonly #operatorServer: OperatorServer;

  /**
   * Creates the HTTP servers; use {@link create} instead.
   *
   * @param settings - settings whose ports are all resolved
   * @param parts - components that have not been started
   */
  constructor(settings: VmSettings, parts: VmParts) {
    this.settings = settings;
    this.parts = parts;
    const inputs = new InputLimiter(parts.ports.clock, parts.ports.metrics);
    this.callerServer = new CallerServer({ ...parts.ports, inputs }, {
      address: settings.self.callerAddress,
      lingerMs: ENTRIES_VALID_MS,
      ...settings.callerLimits,
      ...settings.callerTls === undefined ? {} : { tls: settings.callerTls },
      ...settings.peerTls === undefined
        ? {}
        : { peerAuthority: settings.peerTls.authority },
    });
    const { ports, facts } = parts;
    const source = new VmOperatorSource({
      settings,
      ports,
      facts,
      callerServer: this.callerServer,
    });
    this.#operatorServer = new OperatorServer(source, {
      address: settings.operatorAddress,
      inputs,
    });
  }

  /**
   * Builds a VM; it listens after {@link start}.
   *
   * @param settings - identity, addresses and limits of the VM
   * @param dependencies - platform services, clock, random source, telemetry
   * @returns the VM, with a port chosen for each port 0
   */
  static async create(
    settings: VmSettings,
    dependencies: VmDependencies,
  ): Promise<EntryVm> {
    const resolved = await resolvePorts(settings);
    return new EntryVm(resolved, buildVmParts(resolved, dependencies));
  }

  /**
   * Reads this VM's record.
   *
   * @returns the record, with the ports that other VMs and callers connect to
   */
  readSelf(): Vm {
    return this.settings.self;
  }

  /**
   * Counts the shards whose holder this VM does not know, and schedules a lookup
   * of each missing holder.
   *
   * @returns number of shards; 0 if every claimed request can be routed to a
   * holder
   */
  countUnknownShards(): number {
    const { ownership } = this.parts;
    const { shardCount } = ownership.settings;
    const shards = Array.from({ length: shardCount }, (_, index) => index);
    return shards.filter((shard) =>
      ownership.findOwnership(toId<ShardId>(shard)) === undefined
    ).length;
  }

  /**
   * Starts all components, then accepts callers.
   *
   * @returns bound address of the server for callers
   */
  async start(): Promise<SocketAddress> {
    const { peerServer, components } = this.parts;
    await peerServer.bind(
      this.settings.self.peerAddress,
      this.settings.peerTls,
    );
    for (const component of components) {
      await component.start();
    }
    await this.#operatorServer.start();
    return await this.callerServer.start();
  }

  /**
   * Stops gracefully: removes this VM from the callers' lists, hands its shards
   * over to other VMs and waits for requests in flight.
   */
  async drain(): Promise<void> {
    const draining = this.callerServer.drain();
    for (const component of this.parts.components) {
      await component.drain();
    }
    await draining;
    await this.stop();
  }

  /** Stops immediately, as in a crash: requests in flight are aborted. */
  async stop(): Promise<void> {
    const { components, peerServer, channels } = this.parts;
    await this.callerServer.stop();
    await this.#operatorServer.stop();
    for (const component of [...components].reverse()) {
      await component.stop();
    }
    channels.close();
    peerServer.close();
  }
}

async function resolvePorts(settings: VmSettings): Promise<VmSettings> {
  const { self } = settings;
  const operatorAddress = await resolvePort(settings.operatorAddress);
  return {
    ...settings,
    self: {
      ...self,
      callerAddress: await resolvePort(self.callerAddress),
      peerAddress: await resolvePort(self.peerAddress),
      operatorAddress,
    },
    operatorAddress,
  };
}
