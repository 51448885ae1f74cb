/** What accrued of the teams' limits while no process ran. */

import type { SharedLimit } from "@limpetford/core/limits/shared_bucket";
import type { TeamId, VmId } from "@limpetford/domain/ids";

import type { FleetState } from "./fleet_state.ts";

/**
 * Least time in which a process restarts. The leaders therefore start with the
 * tokens that accrued unused in this time.
 */
const MIN_RESTART_S = 1;
/** VMs that a VM must have heard of to be certain that it leads its zone. */
const MIN_HEARD_VMS = 2;
/** Share that a VM counts on while it does not know the number of VMs. */
const UNKNOWN_FLEET_SHARE = 0.02;

/** Dependencies of {@link AccruedTokens}. */
export interface AccruedTokensOptions {
  readonly state: FleetState;
  /** True if the settings name other VMs, so that this one is not alone. */
  readonly hasOtherSeeds: boolean;
}

/**
 * Divides among the leaders what accrued during an outage. VMs that start
 * together may take themselves for leaders until they have heard of others, so a
 * leader has little of it before.
 */
export class AccruedTokens {
  readonly #options: AccruedTokensOptions;
  readonly #heardVms = new Set<VmId>();
  /** Shares that were granted while this VM was not certain to lead. */
  readonly #uncertainShares = new Map<TeamId, number>();

  /**
   * Starts without having heard of another VM.
   *
   * @param options - the VMs of the store, and whether there are others
   */
  constructor(options: AccruedTokensOptions) {
    this.#options = options;
  }

  /**
   * Records that another VM has reported.
   *
   * @param vm - the other VM
   */
  recordHeard(vm: VmId): void {
    this.#heardVms.add(vm);
  }

  /**
   * Takes what a leader's new bucket begins with.
   *
   * @param team - team of the bucket
   * @param limit - its limit
   * @param share - this leader's share of it
   * @returns tokens
   */
  takeFirst(team: TeamId, limit: SharedLimit, share: number): number {
    const mostShare = this.#computeMostShare();
    const grantedShare = Math.min(share, mostShare);
    if (mostShare < 1) {
      this.#uncertainShares.set(team, grantedShare);
    }
    return limit.ratePerSecond * grantedShare * MIN_RESTART_S;
  }

  /**
   * Takes the rest of a team once this VM is certain that it leads its zone.
   *
   * @param team - team of the bucket
   * @param limit - its limit
   * @param share - this leader's share of it
   * @returns tokens; 0 before, and after the first time
   */
  takeRest(team: TeamId, limit: SharedLimit, share: number): number {
    const grantedShare = this.#uncertainShares.get(team);
    if (grantedShare === undefined || this.#computeMostShare() < 1) {
      return 0;
    }
    this.#uncertainShares.delete(team);
    const restShare = Math.max(0, share - grantedShare);
    return limit.ratePerSecond * restShare * MIN_RESTART_S;
  }

  #computeMostShare(): number {
    const { hasOtherSeeds, state } = this.#options;
    const vmCount = state.listVms().length;
    if (vmCount === 1 && hasOtherSeeds) {
      return UNKNOWN_FLEET_SHARE;
    }
    const neededVms = Math.min(MIN_HEARD_VMS, vmCount - 1);
    return this.#heardVms.size >= neededVms ? 1 : 1 / vmCount;
  }
}
