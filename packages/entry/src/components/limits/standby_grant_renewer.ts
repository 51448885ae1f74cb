/** Keeps grants at a shard's standby for the time without a holder. */

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

/** Dependencies of a {@link StandbyGrantRenewer}. */
export interface StandbyGrantRenewerOptions {
  readonly calls: LimitsCalls;
  readonly clock: Clock;
  readonly fleet: FleetView;
  readonly ownership: OwnershipView;
  /** Finds the token cache of a team; creates it on first use. */
  readonly findTokenCache: (team: TeamId) => TeamTokenCache;
}

interface HolderShards {
  readonly holder: Vm;
  readonly shards: ShardId[];
}

interface Renewal {
  /** Teams with a grant from this holder in its last reply. */
  teams: readonly TeamId[];
  /** Monotonic time of the next call to this holder, in milliseconds. */
  nextAtMs: number;
}

/**
 * Renews this VM's grants with the holder of each shard for which it is the
 * standby. This VM spends them while the shard has no holder.
 */
export class StandbyGrantRenewer {
  readonly #options: StandbyGrantRenewerOptions;
  readonly #renewals = new Map<string, Renewal>();
  #isLeaving = false;

  /**
   * Creates a renewer without grants.
   *
   * @param options - RPC calls, clock, members, ownership and token caches
   */
  constructor(options: StandbyGrantRenewerOptions) {
    this.#options = options;
  }

  /** Stops renewals because this VM is shutting down. */
  drain(): void {
    this.#isLeaving = true;
  }

  /** Starts the renewal with each holder whose interval has elapsed. */
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
    const { calls, clock, fleet, findTokenCache } = this.#options;
    const reports = renewal.teams.map((team): TeamReports => ({
      team,
      reports: [...findTokenCache(team).takeReports(clock.readMonotonicMs())],
    }));
    const requestedAtMs = clock.readMonotonicMs();
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
      const cache = findTokenCache(toId<TeamId>(team));
      if (tokens > 0) {
        cache.addGrant({ id, tokens, validForMs }, requestedAtMs);
      } else {
        cache.renewGrant(id, validForMs, requestedAtMs);
      }
    }
    renewal.teams = [
      ...new Set(grants.map(({ team }) => toId<TeamId>(team))),
    ];
    if (grants.length === 0) {
      renewal.nextAtMs = requestedAtMs + IDLE_RENEW_INTERVAL_MS;
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
