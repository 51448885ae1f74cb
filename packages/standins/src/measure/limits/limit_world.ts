/** VMs with the real rate limiter under virtual time. */

import { sortEntries } from "@limpetford/core/entries/entry_order";
import { StaticFleetView } from "@limpetford/core/membership/static_fleet_view";
import { findTeamShard } from "@limpetford/core/sharding/shard_hash";
import type { SeededRandomSource } from "@limpetford/core/time/random_source";
import {
  type ConfigurationVersion,
  type RegionId,
  type ShardId,
  type TeamId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";
import { makeError, makeOk, type Result } from "@limpetford/domain/result";
import type { Team } from "@limpetford/domain/team";
import {
  isSameIncarnation,
  type SocketAddress,
  type Vm,
  type VmIncarnation,
} from "@limpetford/domain/vm";
import { RateLimiterComponent } from "@limpetford/entry/components/limits/rate_limiter_component";
import { FixedConfiguration } from "@limpetford/entry/fakes/fixed_configuration";
import type { RateLimiter } from "@limpetford/entry/ports/rate_limiter";
import type { LimitsCalls } from "@limpetford/peer/limits_handlers";
import type { CallOptions } from "@limpetford/peer/peer_channels";
import type { PeerError } from "@limpetford/peer/peer_error";

import { VirtualTime } from "../virtual_time.ts";
import {
  choosePolicy,
  type LimitPolicyName,
  StaticSplitLimiter,
} from "./limit_policies.ts";
import { type OwnershipTable, VirtualOwnership } from "./virtual_ownership.ts";

const ZONE_COUNT = 3;
const LINK_DELAY_MS = 1;
const HANDOVER_MS = 5;
/** A promise of 2.5 s that runs out, and an append to the log. */
export const TAKEOVER_MS = 2_750;

/** One VM of the world. */
export interface LimitVm {
  readonly vm: Vm;
  readonly limiter: RateLimiter;
  /** Undefined under a policy without a holder. */
  readonly component: RateLimiterComponent | undefined;
  isRunning: boolean;
  isLeaving: boolean;
}

/** What a world is built from. */
export interface LimitWorldOptions {
  readonly vmCount: number;
  readonly teams: readonly Team[];
  readonly policy: LimitPolicyName;
  readonly random: SeededRandomSource;
}

/**
 * Moves shards between VMs as kills and planned stops demand.
 */
export class LimitWorld {
  readonly time = new VirtualTime();
  readonly vms: LimitVm[] = [];
  /** Calls between VMs so far. */
  callCount = 0;
  readonly #options: LimitWorldOptions;
  readonly #table: OwnershipTable = new Map();
  readonly #configuration: FixedConfiguration;
  #startedCount = 0;

  /**
   * Creates the world with all shards held.
   *
   * @param options - sizes, teams and policy
   */
  constructor(options: LimitWorldOptions) {
    this.#options = options;
    this.#configuration = new FixedConfiguration({
      version: toId<ConfigurationVersion>(1),
      services: [],
      servers: [],
      routes: [],
      teams: options.teams,
      keys: [],
    });
    for (let index = 0; index < options.vmCount; index += 1) {
      this.startVm();
    }
    for (const team of options.teams) {
      const shard = findTeamShard(team.id);
      const [holder, standby] = this.#pickTwo();
      this.#setOwners(shard, holder, standby);
      holder.component?.acquireShard(shard, { kind: "takeover" });
    }
  }

  /** Adds a VM. */
  startVm(): void {
    const vm = makeVm(this.#startedCount);
    this.#startedCount += 1;
    const { policy, teams, vmCount } = this.#options;
    const grantPolicy = choosePolicy(policy);
    const component = grantPolicy === undefined
      ? undefined
      : new RateLimiterComponent({
        configuration: this.#configuration,
        ownership: new VirtualOwnership(vm, this.#table),
        fleet: new WorldFleetView(vm, {
          listMembers: () => this.#listMembers(),
          listAll: () => this.vms.map((known) => known.vm),
        }),
        calls: this.#buildCalls(),
        clock: this.time,
        timers: this.time,
        policy: grantPolicy,
      });
    const byId = new Map(teams.map((team) => [team.id, team]));
    const limiter = component ??
      new StaticSplitLimiter(byId, vmCount, this.time);
    this.vms.push({
      vm,
      limiter,
      component,
      isRunning: true,
      isLeaving: false,
    });
    void component?.start();
  }

  /**
   * Lists where a caller of a team is led.
   *
   * @param team - the team
   * @returns the VMs, best first
   */
  listEntries(team: Team): readonly LimitVm[] {
    const { random } = this.#options;
    const candidates = this.#listMembers();
    const asked = candidates[random.pickIndex(candidates.length)];
    if (asked === undefined) {
      return [];
    }
    const entries = sortEntries({
      team: team.id,
      ratePerSecond: team.ratePerSecond,
      ownership: this.#table.get(findTeamShard(team.id)),
      candidates,
      asked,
      unit: random.sampleUniform(),
    });
    return entries
      .map((vm) => this.vms.find((known) => known.vm === vm))
      .filter((found): found is LimitVm => found !== undefined);
  }

  /**
   * Finds the holder of a team's shard.
   *
   * @param team - the team
   * @returns the VM, running or not
   */
  findHolder(team: TeamId): LimitVm | undefined {
    const holder = this.#table.get(findTeamShard(team))?.holder;
    return this.vms.find((known) => known.vm === holder);
  }

  /**
   * Kills a VM; its shards are taken over later, and a new VM starts.
   *
   * @param victim - the VM
   */
  abortVm(victim: LimitVm): void {
    victim.isRunning = false;
    void victim.component?.stop();
    this.startVm();
    this.time.schedule(TAKEOVER_MS, () => {
      this.#passShards(victim, (shard, next) => {
        next.component?.acquireShard(shard, { kind: "takeover" });
      });
    });
  }

  /**
   * Stops a VM as planned and starts another in its place.
   *
   * @param leaving - the VM
   */
  drainVm(leaving: LimitVm): void {
    leaving.isLeaving = true;
    this.startVm();
    void leaving.component?.drain();
    this.#passShards(leaving, (shard, next) => {
      const state = leaving.component?.prepareHandover(shard);
      if (state !== undefined) {
        this.time.schedule(HANDOVER_MS, () => {
          next.component?.acquireShard(shard, { kind: "handover", state });
        });
      }
    });
    this.time.schedule(10_000, () => {
      leaving.isRunning = false;
      void leaving.component?.stop();
    });
  }

  #listMembers(): readonly Vm[] {
    return this.vms
      .filter((known) => known.isRunning && !known.isLeaving)
      .map((known) => known.vm);
  }

  #passShards(
    from: LimitVm,
    move: (shard: ShardId, next: LimitVm) => void,
  ): void {
    for (const [shard, owned] of [...this.#table]) {
      if (owned.holder !== from.vm) {
        continue;
      }
      const standby = this.vms.find((known) => known.vm === owned.standby);
      const [first, second] = this.#pickTwo();
      const next = standby?.isRunning === true && !standby.isLeaving
        ? standby
        : first;
      this.#setOwners(shard, next, next === second ? first : second);
      move(shard, next);
    }
  }

  #setOwners(shard: ShardId, holder: LimitVm, standby: LimitVm): void {
    const epoch = (this.#table.get(shard)?.epoch ?? 0) + 1;
    this.#table.set(shard, {
      shard,
      epoch,
      holder: holder.vm,
      standby: standby.vm,
    });
  }

  #pickTwo(): readonly [LimitVm, LimitVm] {
    const present = this.vms.filter((known) =>
      known.isRunning && !known.isLeaving
    );
    const index = this.#options.random.pickIndex(present.length);
    const first = present[index];
    const second = present[(index + 1) % present.length];
    if (first === undefined || second === undefined) {
      throw new Error("no VM is left");
    }
    return [first, second];
  }

  #buildCalls(): LimitsCalls {
    return {
      sendAcquireTokens: (request, options) =>
        this.#sendCall(options, (to) => to.handleAcquireTokens(request)),
      sendRecallTokens: (request, options) =>
        this.#sendCall(
          options,
          (to) => Promise.resolve(to.handleRecallTokens(request)),
        ),
      sendStandbyTokens: (request, options) =>
        this.#sendCall(
          options,
          (to) => Promise.resolve(to.handleStandbyTokens(request)),
        ),
    };
  }

  async #sendCall<Reply>(
    options: CallOptions,
    handle: (to: RateLimiterComponent) => Promise<Reply>,
  ): Promise<Result<Reply, PeerError>> {
    this.callCount += 1;
    await this.time.wait(LINK_DELAY_MS);
    const receiver = this.#findByAddress(options.to);
    if (receiver?.isRunning !== true || receiver.component === undefined) {
      await this.time.wait(options.timeoutMs);
      return makeError({ kind: "peer-reply-lost", cause: "no answer" });
    }
    const reply = await handle(receiver.component);
    await this.time.wait(LINK_DELAY_MS);
    return makeOk(reply);
  }

  #findByAddress(address: SocketAddress): LimitVm | undefined {
    return this.vms.find((known) => known.vm.peerAddress.host === address.host);
  }
}

interface WorldLists {
  readonly listMembers: () => readonly Vm[];
  readonly listAll: () => readonly Vm[];
}

class WorldFleetView extends StaticFleetView {
  readonly #lists: WorldLists;

  constructor(self: Vm, lists: WorldLists) {
    super(self);
    this.#lists = lists;
  }

  override listMembers(): readonly Vm[] {
    return this.#lists.listMembers();
  }

  override findVm(incarnation: VmIncarnation): Vm | undefined {
    return this.#lists.listAll().find((vm) =>
      isSameIncarnation(vm.incarnation, incarnation)
    );
  }
}

function makeVm(index: number): Vm {
  const host = `127.0.${index >> 8}.${index & 0xff}`;
  return {
    incarnation: { vm: toId<VmId>(`vm-${index}`), startedAtMs: 1 },
    zone: toId<ZoneId>(`zone-${index % ZONE_COUNT}`),
    region: toId<RegionId>("region-1"),
    callerAddress: { host, port: 1 },
    peerAddress: { host, port: 2 },
    weight: 1,
  };
}
