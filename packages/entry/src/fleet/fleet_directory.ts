/** What a VM tells callers and the platform: whom to use, and if it is ready. */

import type { ZoneId } from "@limpetford/domain/ids";
import type { SocketAddress, Vm } from "@limpetford/domain/vm";

import { DirectorySource } from "./directory_server.ts";
import type { FleetPeers } from "./fleet_peers.ts";
import type { FleetState } from "./fleet_state.ts";

/** Dependencies of a {@link FleetDirectory}. */
export interface FleetDirectoryOptions {
  readonly self: Vm;
  readonly state: FleetState;
  readonly peers: FleetPeers;
}

/** Answers from what this VM knows of itself and of the leaders. */
export class FleetDirectory extends DirectorySource {
  readonly #options: FleetDirectoryOptions;

  /**
   * Creates a source for the directory of one VM.
   *
   * @param options - this VM, its state, and what it knows of the others
   */
  constructor(options: FleetDirectoryOptions) {
    super();
    this.#options = options;
  }

  override listAddresses(zone: ZoneId): readonly SocketAddress[] {
    const { self, peers } = this.#options;
    const leaders = peers.listLeaders();
    const zoneLeaders = leaders.filter((vm) => vm.zone === zone);
    const regionLeaders = leaders.filter((vm) => vm.region === self.region);
    // Without a leader in the callers' zone, one leader of this VM's region
    // serves them, or else any leader.
    const chosen = zoneLeaders.length > 0
      ? zoneLeaders
      : [regionLeaders[0] ?? leaders[0]];
    return chosen.flatMap((vm) => vm?.callerAddress ?? []);
  }

  override isReady(): boolean {
    const { state, peers } = this.#options;
    return state.mayServe() && !peers.isLeaving;
  }
}
