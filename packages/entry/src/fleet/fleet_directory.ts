/** What a VM tells callers and the platform: whom to use, and if it is ready. */

import { REACH, type Reach } from "@limpetford/core/reach/vm_reach_table";
import type { Clock } from "@limpetford/core/time/clock";
import type { ZoneId } from "@limpetford/domain/ids";
import type { SocketAddress, Vm } from "@limpetford/domain/vm";

import { DirectorySource } from "./directory_server.ts";
import type { FleetPeers } from "./fleet_peers.ts";
import type { FleetState } from "./fleet_state.ts";

/** Dependencies of a {@link FleetDirectory}. */
export interface FleetDirectoryOptions {
  readonly self: Vm;
  readonly state: Pick<FleetState, "mayServe">;
  readonly peers: Pick<FleetPeers, "listLeaders" | "reach" | "isLeaving">;
  readonly clock: Clock;
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
    return this.#chooseVms(zone).map((vm) => vm.callerAddress);
  }

  // Without a leader in the callers' zone, one leader of this VM's region serves
  // them, or else any leader.
  #chooseVms(zone: ZoneId): readonly Vm[] {
    const { self, peers } = this.#options;
    const leaders = peers.listLeaders();
    const zoneLeaders = leaders.filter((vm) => vm.zone === zone);
    const regionLeaders = leaders.filter((vm) => vm.region === self.region);
    const [firstLeader] = [...regionLeaders, ...leaders];
    if (zoneLeaders.length === 0) {
      return firstLeader === undefined ? [] : [firstLeader];
    }
    return this.#selectReaching(zoneLeaders, [...regionLeaders, ...leaders]);
  }

  // Leaders that have lost services are named only if no other leader is known to
  // reach all: then the servers are likely at fault, and not the leaders.
  #selectReaching(
    zoneLeaders: readonly Vm[],
    others: readonly Vm[],
  ): readonly Vm[] {
    const { self } = this.#options;
    const confirmed = others.filter((vm) =>
      this.#findReach(vm) === REACH.confirmed
    );
    if (confirmed.length === 0) {
      return zoneLeaders;
    }
    const reaching = zoneLeaders.filter((vm) =>
      this.#findReach(vm) !== REACH.lost
    );
    if (reaching.length > 0) {
      return reaching;
    }
    const near = confirmed.filter((vm) => vm.region === self.region);
    return [...new Set(near.length > 0 ? near : confirmed)];
  }

  #findReach({ incarnation }: Vm): Reach {
    const { peers, clock } = this.#options;
    return peers.reach.find(incarnation.vm, clock.readMonotonicMs());
  }

  override isReady(): boolean {
    const { state, peers } = this.#options;
    return state.mayServe() && !peers.isLeaving;
  }
}
