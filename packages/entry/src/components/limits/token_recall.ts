/** Recalls unspent grants when the holder of a team's bucket runs out. */

import type { LimitHolder } from "@limpetford/core/limits/limit_holder";
import type { FleetView } from "@limpetford/core/membership/fleet_view";
import type { Clock } from "@limpetford/core/time/clock";
import type { TeamId } from "@limpetford/domain/ids";
import { parseIncarnation, type Vm } from "@limpetford/domain/vm";
import type { LimitsCalls } from "@limpetford/peer/limits_handlers";

const RECALL_TIMEOUT_MS = 100;
const RECALL_BACKOFF_MS = 100;

/** Dependencies of a {@link TokenRecall}. */
export interface TokenRecallOptions {
  readonly calls: LimitsCalls;
  readonly clock: Clock;
  readonly fleet: FleetView;
  readonly holder: LimitHolder;
}

/**
 * Asks VMs to return their grants. At most one recall per team runs at a time,
 * and a recall without a result is followed by a backoff, so that a team far
 * above its rate does not cause a recall for each of its requests.
 */
export class TokenRecall {
  readonly #options: TokenRecallOptions;
  readonly #running = new Map<TeamId, Promise<boolean>>();
  readonly #lastFailedAtMs = new Map<TeamId, number>();

  /**
   * Creates a recall without calls in flight.
   *
   * @param options - RPC calls, clock, members and the local shard holder
   */
  constructor(options: TokenRecallOptions) {
    this.#options = options;
  }

  /**
   * Recalls a team's grants, or joins the recall that is in flight.
   *
   * @param team - team whose bucket is empty at this holder
   * @param grantedTo - incarnations of the VMs that may have unspent tokens
   * @returns true if a VM reported a grant, spent or returned; false during
   *   the backoff
   */
  async withdrawGrants(
    team: TeamId,
    grantedTo: readonly string[],
  ): Promise<boolean> {
    const running = this.#running.get(team);
    if (running !== undefined) {
      return await running;
    }
    const nowMs = this.#options.clock.readMonotonicMs();
    const lastMs = this.#lastFailedAtMs.get(team) ?? -Infinity;
    if (grantedTo.length === 0 || nowMs - lastMs < RECALL_BACKOFF_MS) {
      return false;
    }
    const started = this.#withdrawAll(team, new Set(grantedTo)).finally(() => {
      this.#running.delete(team);
    });
    this.#running.set(team, started);
    return await started;
  }

  async #withdrawAll(
    team: TeamId,
    names: ReadonlySet<string>,
  ): Promise<boolean> {
    const vms = [...names]
      .map((name) => this.#options.fleet.findVm(parseIncarnation(name)))
      .filter((vm): vm is Vm => vm !== undefined);
    const counts = await Promise.all(
      vms.map((vm) => this.#withdrawFrom(team, vm)),
    );
    const isAnyReported = counts.some((count) => count > 0);
    if (!isAnyReported) {
      const nowMs = this.#options.clock.readMonotonicMs();
      this.#lastFailedAtMs.set(team, nowMs);
    }
    return isAnyReported;
  }

  async #withdrawFrom(team: TeamId, vm: Vm): Promise<number> {
    const result = await this.#options.calls.sendRecallTokens({ team }, {
      to: vm.peerAddress,
      timeoutMs: RECALL_TIMEOUT_MS,
    });
    if (!result.ok) {
      return 0;
    }
    const { reports } = result.value;
    this.#options.holder.applyReports(team, reports);
    return reports.length;
  }
}
