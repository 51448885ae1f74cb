/** VMs that divide a team's limit over links that can be cut, in virtual time. */

import type { FakeClock } from "@limpetford/core/time/fake_clock";
import type { VmId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";
import type { TokenReply, TokenRequest } from "@limpetford/peer/fleet_sync";

import { buildEmptyConfiguration } from "./empty_configuration.ts";
import { buildExchangeVm, ExchangeSide } from "./exchange_side.ts";
import { LIMITED_TEAM } from "./limiter_fleet.ts";
import { buildPlacementRequest } from "./placement_request.ts";

const SAME_ZONE_INTERVAL_MS = 250;
const OTHER_INTERVAL_MS = 500;
const MAX_SILENCE_FACTOR = 2.4;

/** Limit of the team in one version of the configuration. */
export interface VersionedLimit {
  readonly version: number;
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Size of the fleet and tolerance of its limits. */
export interface LimiterNetworkOptions {
  readonly zones: number;
  readonly vms: number;
  readonly tolerance: number;
}

/**
 * Runs the limiter, the choice of leaders and the exchange of messages of a fleet.
 * Calls take no time. One fails if its request or its reply meets a cut.
 */
export class LimiterNetwork {
  readonly #clock: FakeClock;
  readonly #options: LimiterNetworkOptions;
  readonly #sides = new Map<VmId, ExchangeSide>();
  readonly #cuts = new Set<string>();
  readonly #nextCallsMs = new Map<string, number>();

  /**
   * Creates a fleet of which no VM runs.
   *
   * @param clock - advanced by the test between steps
   * @param options - size of the fleet
   */
  constructor(clock: FakeClock, options: LimiterNetworkOptions) {
    this.#clock = clock;
    this.#options = options;
  }

  /**
   * Lists the VMs that run.
   *
   * @returns their components
   */
  listSides(): readonly ExchangeSide[] {
    return [...this.#sides.values()];
  }

  /**
   * Starts a VM, which knows the records of all VMs from the store.
   *
   * @param index - which VM
   * @param limit - the limit that it reads
   * @param isFirstStart - false after a stop
   */
  start(index: number, limit: VersionedLimit, isFirstStart: boolean): void {
    const { vms, tolerance } = this.#options;
    const startedAtMs = this.#clock.readWallMs();
    const side: ExchangeSide = new ExchangeSide(`vm-${index}`, this.#clock, {
      startedAtMs,
      zone: this.#findZone(index),
      limiter: {
        sendTokenRequest: (vm, request): Promise<TokenReply | undefined> =>
          Promise.resolve(this.#sendTokenRequest(side, vm, request)),
        isFirstStart,
        hasOtherSeeds: true,
        tolerance,
      },
    });
    for (let other = 0; other < vms; other++) {
      const known = this.#sides.get(
        buildExchangeVm(`vm-${other}`).incarnation.vm,
      );
      side.state.applyVm(
        known?.self ??
          buildExchangeVm(`vm-${other}`, startedAtMs, this.#findZone(other)),
      );
    }
    side.state.applyVm(side.self);
    for (const other of this.#sides.values()) {
      other.state.applyVm(side.self);
    }
    this.#sides.set(side.self.incarnation.vm, side);
    this.applyLimit(side, limit);
  }

  /**
   * Ends a VM at once.
   *
   * @param side - the VM
   */
  stop(side: ExchangeSide): void {
    this.#sides.delete(side.self.incarnation.vm);
  }

  /**
   * Lets a VM read a limit from the store.
   *
   * @param side - the VM
   * @param limit - an earlier version than its own changes nothing
   */
  applyLimit(side: ExchangeSide, limit: VersionedLimit): void {
    const { version, ratePerSecond, burst } = limit;
    side.state.applyConfiguration({
      configuration: {
        ...buildEmptyConfiguration(version),
        teams: [
          { id: LIMITED_TEAM, ratePerSecond, burst, weight: 1, priority: 1 },
        ],
      },
      position: { era: 0, offset: version },
    });
  }

  /**
   * Cuts the link from one VM to another.
   *
   * @param from - VM whose messages are lost
   * @param to - VM that they were sent to
   */
  setCut(from: ExchangeSide, to: ExchangeSide): void {
    this.#cuts.add(describeLink(from.self, to.self));
  }

  /**
   * Cuts VMs off from all VMs of other groups, both ways.
   *
   * @param findGroup - group of a VM; VMs of the same group reach each other
   */
  split(findGroup: (side: ExchangeSide, index: number) => number): void {
    const groups = this.listSides().map((side, index) => ({
      side,
      group: findGroup(side, index),
    }));
    for (const from of groups) {
      for (const to of groups.filter(({ group }) => group !== from.group)) {
        this.setCut(from.side, to.side);
      }
    }
  }

  /** Restores all links. */
  clearCuts(): void {
    this.#cuts.clear();
  }

  /** Lets each VM decide whether it leads, and make the calls that are due. */
  advance(): void {
    for (const side of this.#sides.values()) {
      const isLeader = this.#updateLeadership(side);
      for (const vm of this.#choosePartners(side, isLeader)) {
        this.#sendIfDue(side, vm);
      }
    }
  }

  /**
   * Lets a caller of the team ask at a VM.
   *
   * @param side - the VM
   * @returns whether its request may be sent to a server
   */
  async send({ limiter }: ExchangeSide): Promise<boolean> {
    const { context } = buildPlacementRequest("r");
    const verdict = await limiter.acquire(LIMITED_TEAM, context);
    return verdict.kind === "granted";
  }

  #updateLeadership({ peers, self }: ExchangeSide): boolean {
    const isLeader = peers.listZoneLeaders(self.zone).some((vm) =>
      vm.incarnation.vm === self.incarnation.vm
    );
    peers.ownLeaderSinceMs = isLeader
      ? peers.ownLeaderSinceMs ?? this.#clock.readWallMs()
      : undefined;
    return isLeader;
  }

  #choosePartners(side: ExchangeSide, isLeader: boolean): readonly Vm[] {
    const { peers, self, state } = side;
    if (!isLeader) {
      const leader = peers.chooseLeader(self.zone) ?? peers.listLeaders()[0];
      return leader === undefined ? [] : [leader];
    }
    const leaders = peers.listLeaders();
    const silent = state.listVms().filter((vm) =>
      vm.zone === self.zone && !leaders.includes(vm) &&
      this.#readSilentMs(side, vm) > OTHER_INTERVAL_MS * MAX_SILENCE_FACTOR
    );
    return [...leaders, ...silent.slice(0, 1)];
  }

  #sendIfDue(side: ExchangeSide, vm: Vm): void {
    const { self, peers } = side;
    if (vm.incarnation.vm === self.incarnation.vm) {
      return;
    }
    const isLeader = peers.ownLeaderSinceMs !== undefined;
    const intervalMs = isLeader && vm.zone === self.zone
      ? SAME_ZONE_INTERVAL_MS
      : OTHER_INTERVAL_MS;
    const shouldCall = !isLeader || self.incarnation.vm < vm.incarnation.vm ||
      this.#readSilentMs(side, vm) > intervalMs * MAX_SILENCE_FACTOR;
    const link = describeLink(self, vm);
    const nowMs = this.#clock.readMonotonicMs();
    if (shouldCall && nowMs >= (this.#nextCallsMs.get(link) ?? 0)) {
      this.#nextCallsMs.set(link, nowMs + intervalMs);
      if (!this.#sendExchange(side, vm)) {
        peers.markSuspected(vm);
      }
    }
  }

  // Returns false if the reply is lost.
  #sendExchange(from: ExchangeSide, vm: Vm): boolean {
    const nowMs = this.#clock.readMonotonicMs();
    const to = this.#findReached(from.self, vm);
    if (to !== undefined) {
      to.messages.apply(from.messages.build(from.peers.getPeer(vm), []), nowMs);
      const reply = to.messages.build(to.peers.getPeer(from.self), []);
      if (this.#findReached(to.self, from.self) !== undefined) {
        const isUnheard = !Number.isFinite(from.peers.getPeer(vm).heardAtMs);
        from.messages.apply(reply, nowMs);
        if (isUnheard) {
          // The reply shows which data the other VM lacks.
          this.#nextCallsMs.delete(describeLink(from.self, vm));
        }
        return true;
      }
    }
    return false;
  }

  #sendTokenRequest(
    from: ExchangeSide,
    vm: Vm,
    request: TokenRequest,
  ): TokenReply | undefined {
    const to = this.#findReached(from.self, vm);
    const reply = to?.limiter.handleTokenRequest(request);
    return this.#findReached(vm, from.self) === undefined ? undefined : reply;
  }

  #findReached(from: Vm, to: Vm): ExchangeSide | undefined {
    return this.#cuts.has(describeLink(from, to))
      ? undefined
      : this.#sides.get(to.incarnation.vm);
  }

  #readSilentMs({ peers }: ExchangeSide, vm: Vm): number {
    return this.#clock.readMonotonicMs() - peers.getPeer(vm).heardAtMs;
  }

  #findZone(index: number): string {
    return `zone-${index % this.#options.zones}`;
  }
}

function describeLink(from: Vm, to: Vm): string {
  return `${from.incarnation.vm}>${to.incarnation.vm}`;
}
