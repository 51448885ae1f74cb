/** Decides which VM grants the tokens of a backend server's rate limit. */

import { computeLimitShare } from "@limpetford/core/limits/limit_share";
import type { Clock } from "@limpetford/core/time/clock";
import type { ZoneId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";

import type { FleetPeers } from "./fleet_peers.ts";
import type { FleetState } from "./fleet_state.ts";

/** Time after its last message for which another VM counts as reachable. */
const HEARD_MS = 1_500;
/** A VM that has been silent for this long counts as gone from the fleet. */
const GONE_AFTER_MS = 600_000;

/** Dependencies of a {@link LimitOwnership}. */
export interface LimitOwnershipOptions {
  readonly self: Vm;
  readonly state: FleetState;
  readonly peers: FleetPeers;
  readonly clock: Clock;
}

/**
 * The first leader of a server's availability zone grants its tokens; for a
 * zone without a leader, the first of all leaders by identifier. A VM grants
 * only while it counts itself as that leader and knows of no earlier one.
 */
export class LimitOwnership {
  readonly #options: LimitOwnershipOptions;
  readonly #startedAtMs: number;

  /**
   * Creates the decision; other VMs count as present from now on.
   *
   * @param options - this VM and its view of the others
   */
  constructor(options: LimitOwnershipOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.readMonotonicMs();
  }

  /**
   * Finds the VM that grants the tokens of a zone's servers.
   *
   * @param zone - availability zone of the server
   * @returns the VM; undefined while no leader is known
   */
  findOwner(zone: ZoneId): Vm | undefined {
    const { peers } = this.#options;
    const leaders = peers.listLeaders();
    return leaders.find((vm) => vm.zone === zone) ??
      [...leaders].sort(compareIds)[0];
  }

  /**
   * Checks whether this VM may grant the tokens of a zone's servers.
   *
   * @param zone - availability zone of the server
   * @returns false if another VM grants them, or may do so
   */
  isOwner(zone: ZoneId): boolean {
    const { self, state, peers } = this.#options;
    const ownSinceMs = peers.ownLeaderSinceMs;
    if (ownSinceMs === undefined || peers.isLeaving) {
      return false;
    }
    if (this.findOwner(zone)?.incarnation.vm !== self.incarnation.vm) {
      return false;
    }
    // A VM that does not answer this one may still lead for others.
    return !state.listVms().some((vm) => {
      const sinceMs = peers.readClaim(vm)?.sinceMs;
      return vm.zone === self.zone && sinceMs !== undefined &&
        sinceMs < ownSinceMs;
    });
  }

  /**
   * Computes the share of each limit that this VM may grant as its owner.
   *
   * @returns share, from 0 to 1
   */
  computeShare(): number {
    const { self, state, peers, clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const others = state.listVms().flatMap((vm) => {
      const { heardAtMs } = peers.getPeer(vm);
      const presentAtMs = Math.max(heardAtMs, this.#startedAtMs);
      const isPresent = nowMs - presentAtMs < GONE_AFTER_MS &&
        vm.incarnation.vm !== self.incarnation.vm;
      const isHeard = nowMs - heardAtMs < HEARD_MS;
      return isPresent ? [{ zone: vm.zone, isHeard }] : [];
    });
    return computeLimitShare(self.zone, others);
  }
}

function compareIds(a: Vm, b: Vm): number {
  return a.incarnation.vm < b.incarnation.vm ? -1 : 1;
}
