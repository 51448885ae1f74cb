/** Whether this VM leads its zone, and who leads it otherwise. */

import {
  estimateLeaderLoad,
  isLeaderOverloaded,
  type LeaderLoad,
} from "@limpetford/core/fleet/leader_count";
import type { Clock } from "@limpetford/core/time/clock";
import type { VmId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";

import type { EventLoopMonitor } from "../vm/event_loop_monitor.ts";
import type { FleetLog } from "./fleet_log.ts";
import type { FleetPeers } from "./fleet_peers.ts";
import type { FleetReach } from "./fleet_reach.ts";
import type { ServiceBalancers } from "./service_balancers.ts";
import type { SharedRateLimiter } from "./shared_rate_limiter.ts";

/** Dependencies of a {@link ZoneLeadership}. */
export interface ZoneLeadershipOptions {
  readonly self: Vm;
  readonly peers: FleetPeers;
  readonly balancers: ServiceBalancers;
  readonly limiter: SharedRateLimiter;
  readonly reach: Pick<FleetReach, "update" | "verify">;
  readonly loop: EventLoopMonitor;
  readonly clock: Clock;
  readonly log: FleetLog;
}

/** Follows the choice of leaders and keeps this VM's own claim. */
export class ZoneLeadership {
  readonly #options: ZoneLeadershipOptions;
  #zoneLeader: VmId | undefined;
  #isOverloaded = false;

  /**
   * Starts without a known leader.
   *
   * @param options - what is known of the other VMs, and who is told
   */
  constructor(options: ZoneLeadershipOptions) {
    this.#options = options;
  }

  /**
   * Whether a leader of the zone is known, and is not this VM.
   *
   * @returns true if this VM follows another one
   */
  get isFollowing(): boolean {
    return this.#zoneLeader !== undefined &&
      this.#options.peers.ownLeaderSinceMs === undefined;
  }

  /**
   * Whether this VM is the zone's first leader, which the others follow.
   *
   * @returns true if it is
   */
  get isFirst(): boolean {
    return this.#zoneLeader === this.#options.self.incarnation.vm;
  }

  /** Gives up this VM's claim, as after a pause of the process. */
  clearClaim(): void {
    this.#options.peers.ownLeaderSinceMs = undefined;
  }

  /**
   * Chooses the zone's leaders anew.
   *
   * @returns true if this VM is one of them
   */
  update(): boolean {
    const { peers, self, clock, limiter, loop, balancers, reach } =
      this.#options;
    const load = {
      requestsPerSecond: limiter.readRequestsPerSecond(),
      cores: self.weight,
      delayMs: loop.longestDelayMs,
      queueMs: loop.longestQueueMs,
    };
    peers.ownRequestsPerSecond = estimateLeaderLoad(load);
    this.#recordOverload(load);
    reach.update();
    const leaders = peers.listZoneLeaders(self.zone);
    const isLeader = leaders.some((vm) =>
      vm.incarnation.vm === self.incarnation.vm
    );
    if (!isLeader) {
      peers.ownLeaderSinceMs = undefined;
    } else if (peers.ownLeaderSinceMs === undefined) {
      peers.ownLeaderSinceMs = clock.readWallMs();
      void reach.verify();
    }
    balancers.setVmCount(isLeader ? peers.listLeaders().length : undefined);
    this.#recordLeader(leaders[0]?.incarnation.vm);
    return isLeader;
  }

  #recordOverload(load: LeaderLoad): void {
    const isOverloaded = isLeaderOverloaded(load);
    if (isOverloaded && !this.#isOverloaded) {
      this.#options.log.record("vm-overloaded", {
        delayMs: Math.round(load.delayMs),
        queueMs: Math.round(load.queueMs),
        requestsPerSecond: Math.round(load.requestsPerSecond),
      });
    }
    this.#isOverloaded = isOverloaded;
  }

  #recordLeader(leader: VmId | undefined): void {
    const { self, log } = this.#options;
    if (leader === this.#zoneLeader) {
      return;
    }
    log.record("lead-changed", {
      zone: self.zone,
      lead: leader ?? "",
      before: this.#zoneLeader ?? "",
    });
    this.#zoneLeader = leader;
  }
}
