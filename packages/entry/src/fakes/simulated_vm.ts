/** A VM's knowledge of configuration and servers, for simulations. */

import type { FakeClock } from "@limpetford/core/time/fake_clock";
import type { SyncMessage } from "@limpetford/peer/fleet_sync";

import { FleetLog } from "../fleet/fleet_log.ts";
import type { FleetState } from "../fleet/fleet_state.ts";
import { computeKeysTrustedMs } from "../fleet/key_trust.ts";
import {
  ConfigurationHandler,
  ServersHandler,
} from "../fleet/store_handlers.ts";
import { ExchangeSide } from "./exchange_side.ts";

/** Time within which a withdrawn key must stop working. */
export const REVOCATION_MS = 5_000;

/** When a {@link SimulatedVm} reads the store for itself. */
export interface SimulatedReads {
  /** Age of the configuration at which it reads, in milliseconds. */
  readonly configurationMaxAgeMs: number;
  /** Age of the server list at which it reads, in milliseconds. */
  readonly serversMaxAgeMs: number;
}

/** Options of a {@link SimulatedVm}. */
export interface SimulatedVmOptions {
  readonly startedAtMs: number;
  /** By default those of the first readers of a small fleet. */
  readonly reads?: SimulatedReads;
}

/** One VM that follows the store and exchanges messages with others. */
export class SimulatedVm {
  readonly side: ExchangeSide;
  readonly state: FleetState;
  readonly configuration: ConfigurationHandler;
  readonly servers: ServersHandler;
  /** True while it reaches neither the store nor another VM. */
  isCut = false;
  highestVersion = -1;
  /** State in which each server was listed last. */
  readonly lastStates = new Map<string, string>();

  /**
   * Creates a VM that has read nothing.
   *
   * @param index - the VM with index 0 reads the store first
   * @param clock - shared by all VMs
   * @param options - wall-clock time of its start in milliseconds, and its reads
   */
  constructor(
    index: number,
    clock: FakeClock,
    { startedAtMs, reads = planReads(index) }: SimulatedVmOptions,
  ) {
    const log = new FleetLog({ clock, level: "error", vm: `vm-${index}` });
    this.side = new ExchangeSide(`vm-${index}`, clock, { startedAtMs });
    this.state = this.side.state;
    const options = {
      state: this.state,
      clock,
      log,
      notifyChange: () => undefined,
    };
    this.configuration = new ConfigurationHandler(
      { ...options, readMaxAgeMs: () => reads.configurationMaxAgeMs },
      400,
    );
    this.servers = new ServersHandler(
      { ...options, readMaxAgeMs: () => reads.serversMaxAgeMs },
      index * 250,
    );
  }

  /**
   * Finds the version whose keys this VM accepts.
   *
   * @returns the version; -1 if it accepts no key
   */
  findAcceptedVersion(): number {
    return this.state.configurationAgeMs <= computeKeysTrustedMs(REVOCATION_MS)
      ? this.state.active?.configuration.version ?? -1
      : -1;
  }
  /**
   * Sends a message to another VM, and applies the reply.
   *
   * @param other - the VM that is called
   * @param nowMs - monotonic time, in milliseconds
   */
  sendBothWays(other: SimulatedVm, nowMs: number): void {
    deliverMessage(this, other, -Infinity);
    deliverMessage(other, this, nowMs);
  }
}

function planReads(index: number): SimulatedReads {
  const share = index === 0 ? 0 : 0.55 + index * 0.05;
  return {
    configurationMaxAgeMs: 2_000 * share,
    serversMaxAgeMs: 2_000 * Math.max(0.2, share),
  };
}

function deliverMessage(
  from: SimulatedVm,
  to: SimulatedVm,
  sentAtMs: number,
): void {
  const { state, peers, messages } = from.side;
  const record = state.findVm(to.side.self.incarnation.vm);
  const peer = record === undefined ? undefined : peers.getPeer(record);
  const message = messages.build(peer, []);
  // Messages cross the network as JSON.
  to.side.messages.apply(
    JSON.parse(JSON.stringify(message)) as SyncMessage,
    sentAtMs,
  );
}
