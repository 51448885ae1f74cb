/**
 * A fleet of VMs that run the production rate limiter in virtual time. Shard
 * ownership is simulated: a table that all VMs read.
 */

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
/** One-way delay of a call between two VMs. */
const LINK_DELAY_MS = 1;
/** Time of a planned handover, until the next holder has the state. */
const HANDOVER_MS = 5;
/**
 * Time until a killed holder's shards have a new one: its promise of 2.5 s
 * expires, then the change of ownership is appended to the log.
 */
export const TAKEOVER_MS = 2_750;

/** One VM and its rate limiter. */
export interface LimiterVm {
  readonly vm: Vm;
  readonly limiter: RateLimiter;
  /** The limiter if the policy has shard holders, otherwise undefined. */
  readonly component: RateLimiterComponent | undefined;
  isRunning: boolean;
  isLeaving: boolean;
}

/** Options of {@link LimiterFleet}. */
export interface LimiterFleetOptions {
  readonly vmCount: number;
  readonly teams: readonly Team[];
  readonly policy: LimitPolicyName;
  /** Chooses the holders of shards and the VMs that callers query. */
  readonly random: SeededRandomSource;
}

/**
 * Runs the VMs and moves shards to other VMs when their holder is killed or
 * drained.
 */
export class LimiterFleet {
  readonly time = new VirtualTime();
  readonly vms: LimiterVm[] = [];
  /** Calls that VMs have sent to each other. */
  callCount = 0;
  readonly #options: LimiterFleetOptions;
  readonly #table: OwnershipTable = new Map();
  readonly #configuration: FixedConfiguration;
  #startedCount = 0;

  /**
   * Starts the VMs and assigns a holder and a standby to each team's shard.
   *
   * @param options - fleet size, teams and limiting policy
   */
  constructor(options: LimiterFleetOptions) {
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
      const [holder, standby] = this.#pickHolderAndStandby();
      this.#setOwners(shard, holder, standby);
      holder.component?.acquireShard(shard, { kind: "takeover" });
    }
  }

  /** Starts one more VM, which holds no shard at first. */
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
        fleet: new LimiterFleetView(vm, {
          listMembers: () => this.#listMembers(),
          listAll: () => this.vms.map((candidate) => candidate.vm),
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
   * Lists the VMs to which the directory sends a caller that queries a random VM.
   *
   * @param team - the caller's team
   * @returns VMs in order of preference
   */
  listEntries(team: Team): readonly LimiterVm[] {
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
      jitter: random.sampleUniform(),
    });
    return entries
      .map((vm) => this.vms.find((candidate) => candidate.vm === vm))
      .filter((found): found is LimiterVm => found !== undefined);
  }

  /**
   * Finds the VM that holds a team's shard.
   *
   * @param team - the team whose limit the shard contains
   * @returns the holder, also if it no longer runs; undefined if there is none
   */
  findHolder(team: TeamId): LimiterVm | undefined {
    const holder = this.#table.get(findTeamShard(team))?.holder;
    return this.vms.find((candidate) => candidate.vm === holder);
  }

  /**
   * Kills a VM and starts another. The shards of the killed VM have no acting
   * holder for {@link TAKEOVER_MS}.
   *
   * @param victim - the VM to kill
   */
  abortVm(victim: LimiterVm): void {
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
   * Drains a VM, which hands over its shards, and starts another.
   *
   * @param leaving - the VM to drain
   */
  drainVm(leaving: LimiterVm): void {
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
      .filter((candidate) => candidate.isRunning && !candidate.isLeaving)
      .map((candidate) => candidate.vm);
  }

  #passShards(
    from: LimiterVm,
    move: (shard: ShardId, next: LimiterVm) => void,
  ): void {
    for (const [shard, ownership] of [...this.#table]) {
      if (ownership.holder !== from.vm) {
        continue;
      }
      const standby = this.vms.find((candidate) =>
        candidate.vm === ownership.standby
      );
      const [first, second] = this.#pickHolderAndStandby();
      const next = standby?.isRunning === true && !standby.isLeaving
        ? standby
        : first;
      this.#setOwners(shard, next, next === second ? first : second);
      move(shard, next);
    }
  }

  #setOwners(shard: ShardId, holder: LimiterVm, standby: LimiterVm): void {
    const epoch = (this.#table.get(shard)?.epoch ?? 0) + 1;
    this.#table.set(shard, {
      shard,
      epoch,
      holder: holder.vm,
      standby: standby.vm,
    });
  }

  #pickHolderAndStandby(): readonly [LimiterVm, LimiterVm] {
    const available = this.vms.filter((candidate) =>
      candidate.isRunning && !candidate.isLeaving
    );
    const index = this.#options.random.pickIndex(available.length);
    const first = available[index];
    const second = available[(index + 1) % available.length];
    if (first === undefined || second === undefined) {
      throw new Error("no VM is available to hold a shard");
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

  #findByAddress(address: SocketAddress): LimiterVm | undefined {
    return this.vms.find((candidate) =>
      candidate.vm.peerAddress.host === address.host
    );
  }
}

interface MemberLists {
  readonly listMembers: () => readonly Vm[];
  readonly listAll: () => readonly Vm[];
}

class LimiterFleetView extends StaticFleetView {
  readonly #lists: MemberLists;

  constructor(self: Vm, lists: MemberLists) {
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
