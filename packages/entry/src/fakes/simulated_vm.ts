/** A VM's knowledge of configuration and servers, for simulations. */

import type { FakeClock } from "@limpetford/core/time/fake_clock";

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
   * @param startedAtMs - wall-clock time of its start, in milliseconds
   */
  constructor(index: number, clock: FakeClock, startedAtMs: number) {
    const log = new FleetLog({ clock, level: "error", vm: `vm-${index}` });
    this.side = new ExchangeSide(`vm-${index}`, clock, { startedAtMs });
    this.state = this.side.state;
    const share = index === 0 ? 0 : 0.55 + index * 0.05;
    const options = {
      state: this.state,
      clock,
      log,
      notifyChange: () => undefined,
    };
    this.configuration = new ConfigurationHandler(
      { ...options, readMaxAgeMs: () => 2_000 * share },
      400,
    );
    this.servers = new ServersHandler(
      { ...options, readMaxAgeMs: () => 2_000 * Math.max(0.2, share) },
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
}
