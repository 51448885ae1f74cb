/** Keeps grants at the standby of a shard, for the loss of its holder. */

import type { TeamTokenCache } from "@limpetford/core/limits/team_token_cache";
import type { FleetView } from "@limpetford/core/membership/fleet_view";
import type { OwnershipView } from "@limpetford/core/ownership/ownership_view";
import { SHARD_COUNT } from "@limpetford/core/sharding/shard_hash";
import type { Clock } from "@limpetford/core/time/clock";
import { type ShardId, type TeamId, toId } from "@limpetford/domain/ids";
import {
  formatIncarnation,
  isSameIncarnation,
  type Vm,
} from "@limpetford/domain/vm";
import type { TeamReports } from "@limpetford/peer/generated/limits";
import type { LimitsCalls } from "@limpetford/peer/limits_handlers";

const RENEW_INTERVAL_MS = 500;
const IDLE_RENEW_INTERVAL_MS = 2_000;
const CALL_TIMEOUT_MS = 300;

/** What the standby's side works with. */
export interface StandbyTokensOptions {
  readonly calls: LimitsCalls;
  readonly clock: Clock;
  readonly fleet: FleetView;
  readonly ownership: OwnershipView;
  readonly findWallet: (team: TeamId) => TeamTokenCache;
}

interface HolderShards {
  readonly holder: Vm;
  readonly shards: ShardId[];
}

interface Renewal {
  /** Teams that had a grant from this holder. */
  teams: readonly TeamId[];
  nextAtMs: number;
}

/**
 * Renews the grants with the holder of each shard that this VM stands by for.
 */
export class StandbyTokens {
  readonly #options: StandbyTokensOptions;
  readonly #renewals = new Map<string, Renewal>();
  #isLeaving = false;

  /**
   * Creates the standby's side.
   *
   * @param options - the parts it works with
   */
  constructor(options: StandbyTokensOptions) {
    this.#options = options;
  }

  /** Stops renewing, because this VM leaves. */
  drain(): void {
    this.#isLeaving = true;
  }

  /** Renews what is due. */
  renewDue(): void {
    if (this.#isLeaving) {
      return;
    }
    const nowMs = this.#options.clock.readMonotonicMs();
    const holders = this.#listHolders();
    for (const name of [...this.#renewals.keys()]) {
      if (!holders.has(name)) {
        this.#renewals.delete(name);
      }
    }
    for (const [name, { holder, shards }] of holders) {
      const renewal = this.#renewals.get(name) ??
        { teams: [], nextAtMs: nowMs };
      this.#renewals.set(name, renewal);
      if (nowMs >= renewal.nextAtMs) {
        renewal.nextAtMs = nowMs + RENEW_INTERVAL_MS;
        void this.#renew(renewal, holder, shards);
      }
    }
  }

  async #renew(
    renewal: Renewal,
    holder: Vm,
    shards: readonly ShardId[],
  ): Promise<void> {
    const { calls, clock, fleet, findWallet } = this.#options;
    const reports = renewal.teams.map((team): TeamReports => ({
      team,
      reports: [...findWallet(team).takeReports(clock.readMonotonicMs())],
    }));
    const askedAtMs = clock.readMonotonicMs();
    const result = await calls.sendStandbyTokens({
      vm: formatIncarnation(fleet.readSelf().incarnation),
      shards: [...shards],
      reports,
    }, { to: holder.peerAddress, timeoutMs: CALL_TIMEOUT_MS });
    if (!result.ok) {
      return;
    }
    const { grants } = result.value;
    for (const { team, id, tokens, validForMs } of grants) {
      const wallet = findWallet(toId<TeamId>(team));
      if (tokens > 0) {
        wallet.addGrant({ id, tokens, validForMs }, askedAtMs);
      } else {
        wallet.renewGrant(id, validForMs, askedAtMs);
      }
    }
    renewal.teams = [
      ...new Set(grants.map(({ team }) => toId<TeamId>(team))),
    ];
    if (grants.length === 0) {
      renewal.nextAtMs = askedAtMs + IDLE_RENEW_INTERVAL_MS;
    }
  }

  #listHolders(): ReadonlyMap<string, HolderShards> {
    const { ownership, fleet } = this.#options;
    const self = fleet.readSelf().incarnation;
    const holders = new Map<string, HolderShards>();
    for (let index = 0; index < SHARD_COUNT; index += 1) {
      const shard = toId<ShardId>(index);
      const owned = ownership.findOwnership(shard);
      if (
        owned?.standby !== undefined &&
        isSameIncarnation(owned.standby.incarnation, self)
      ) {
        const name = formatIncarnation(owned.holder.incarnation);
        const known = holders.get(name) ?? { holder: owned.holder, shards: [] };
        known.shards.push(shard);
        holders.set(name, known);
      }
    }
    return holders;
  }
}
