/** Exchanges heartbeats with other VMs and follows the platform's list. */

import type { handleUnaryCall, ServerUnaryCall } from "@grpc/grpc-js";
import type { ConfigurationState } from "@limpetford/core/configuration/configuration_fold";
import type { Connectivity } from "@limpetford/core/configuration/serving_rule";
import { FactExchange } from "@limpetford/core/gossip/fact_exchange";
import type { FactStore } from "@limpetford/core/gossip/fact_store";
import { FleetMembership } from "@limpetford/core/membership/fleet_membership";
import {
  HEARTBEAT_INTERVAL_MS,
  HEARTBEAT_TIMEOUT_MS,
  type HeartbeatMessage,
  HeartbeatProtocol,
  type IndirectProbe,
} from "@limpetford/core/membership/heartbeat_protocol";
import { sortByRendezvous } from "@limpetford/core/sharding/shard_hash";
import type { Clock } from "@limpetford/core/time/clock";
import type { RandomSource } from "@limpetford/core/time/random_source";
import { type ShardId, toId } from "@limpetford/domain/ids";
import {
  formatIncarnation,
  isSameIncarnation,
  type Vm,
} from "@limpetford/domain/vm";
import { decodeIncarnation } from "@limpetford/peer/fact_codec";
import {
  type FetchConfigurationReply,
  type FetchConfigurationRequest,
  type HeartbeatReply,
  type HeartbeatRequest,
  MembershipClient,
  MembershipService,
  type ProbeReply,
  type ProbeRequest,
} from "@limpetford/peer/generated/membership";
import {
  decodeHeartbeat,
  decodeHeartbeatReply,
  encodeHeartbeat,
  encodeHeartbeatReply,
} from "@limpetford/peer/heartbeat_codec";
import type { PeerChannels } from "@limpetford/peer/peer_channels";
import type { PeerServer } from "@limpetford/peer/peer_server";
import { VM_LIST_STATE, type VmList } from "@limpetford/platform/vm_list";

import { VmComponent } from "../../ports/vm_component.ts";
import { fetchState } from "../configuration/configuration_transfer.ts";
import type { ConfigurationPeers } from "./configuration_peers.ts";

const LIST_INTERVAL_MS = 2_000;
const PUSH_DELAY_MS = 10;
const FETCH_TIMEOUT_MS = 2_000;
const FETCH_TRIES = 3;
/** Stands in for a shard in the order of the VMs that watch the log. */
const LOG_WATCHERS = toId<ShardId>(-1);
const PROBE_TIMEOUT_MS = HEARTBEAT_TIMEOUT_MS * 2;

/** Answers a VM that asks for the configuration. */
export type ConfigurationResponder = (
  request: FetchConfigurationRequest,
) => FetchConfigurationReply;

/** What the component works with. */
export interface MembershipComponentOptions {
  readonly self: Vm;
  readonly list: VmList;
  readonly channels: PeerChannels;
  readonly server: PeerServer;
  readonly facts: FactStore;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/**
 * Runs the heartbeat protocol and the spreading of facts.
 */
export class MembershipComponent extends VmComponent
  implements ConfigurationPeers {
  /** The fleet as this VM sees it. */
  readonly membership: FleetMembership;
  readonly #options: MembershipComponentOptions;
  readonly #protocol: HeartbeatProtocol;
  readonly #exchange: FactExchange;
  readonly #sendHeartbeat;
  readonly #sendProbe;
  readonly #sendFetch;
  readonly #timers: NodeJS.Timeout[] = [];
  #pushTimer: NodeJS.Timeout | undefined;
  #reachableCount = 1;
  #isLeaving = false;
  #isStopped = false;
  #respond: ConfigurationResponder | undefined;

  /**
   * Creates the component and adds its service to the peer server.
   *
   * @param options - the parts it works with
   */
  constructor(options: MembershipComponentOptions) {
    super();
    const { self, facts, clock, random, channels } = options;
    this.#options = options;
    this.membership = new FleetMembership({ self, facts, clock });
    this.#exchange = new FactExchange(facts);
    this.#protocol = new HeartbeatProtocol({
      membership: this.membership,
      facts,
      exchange: this.#exchange,
      clock,
      random,
    });
    this.#sendHeartbeat = channels.bind(
      MembershipClient,
      (client) => client.heartbeat.bind(client),
    );
    this.#sendProbe = channels.bind(
      MembershipClient,
      (client) => client.probe.bind(client),
    );
    this.#sendFetch = channels.bind(
      MembershipClient,
      (client) => client.fetchConfiguration.bind(client),
    );
    options.server.register(MembershipService, this.#buildHandlers());
  }

  override async start(): Promise<void> {
    await this.#updateList();
    this.#exchange.subscribePending(() => {
      this.#schedulePush();
    });
    this.#runRound();
    this.#timers.push(
      setInterval(() => {
        this.#runRound();
      }, HEARTBEAT_INTERVAL_MS),
      setInterval(() => {
        void this.#updateList();
      }, LIST_INTERVAL_MS),
    );
  }

  override async drain(): Promise<void> {
    this.#isLeaving = true;
    const { self, facts } = this.#options;
    facts.publish({ kind: "vm-leaving", incarnation: self.incarnation });
    this.#flushPending();
    await this.#updateList();
  }

  override stop(): Promise<void> {
    this.#isStopped = true;
    this.#timers.forEach(clearInterval);
    clearTimeout(this.#pushTimer);
    return Promise.resolve();
  }

  /**
   * Sets who answers VMs that ask for the configuration.
   *
   * @param respond - builds the answer
   */
  setConfigurationResponder(respond: ConfigurationResponder): void {
    this.#respond = respond;
  }

  recordLogRead(): void {
    this.#protocol.recordLogRead();
  }

  readConnectivity(): Connectivity {
    return {
      logAgeMs: this.#protocol.computeLogAgeMs(),
      silenceMs: this.#protocol.computeSilenceMs(),
      memberCount: this.membership.listMembers().length,
      reachableCount: this.#reachableCount,
    };
  }

  findRank(): number {
    const self = this.membership.readSelf();
    const reachable = [self, ...this.membership.listReachable()];
    const order = sortByRendezvous(LOG_WATCHERS, reachable);
    return order.indexOf(self);
  }

  async fetchConfiguration(
    nextOffset: number,
  ): Promise<ConfigurationState | undefined> {
    const candidates = this.membership.listReachable();
    const first = this.#options.random.pickIndex(candidates.length);
    for (let tries = 0; tries < FETCH_TRIES; tries += 1) {
      const vm = candidates[(first + tries) % candidates.length];
      const state = vm === undefined
        ? undefined
        : await this.#fetchFrom(vm, nextOffset);
      if (state !== undefined) {
        return state;
      }
    }
    return undefined;
  }

  async #fetchFrom(
    vm: Vm,
    nextOffset: number,
  ): Promise<ConfigurationState | undefined> {
    return await fetchState(nextOffset, async (request) => {
      const reply = await this.#sendFetch(request, {
        to: vm.peerAddress,
        timeoutMs: FETCH_TIMEOUT_MS,
      });
      return reply.ok ? reply.value : undefined;
    });
  }

  #runRound(): void {
    this.#reachableCount = 1 + this.membership.listReachable().length;
    for (const target of this.#protocol.planRound()) {
      void this.#sendTo(target);
    }
  }

  #schedulePush(): void {
    this.#pushTimer ??= setTimeout(() => {
      this.#flushPending();
    }, PUSH_DELAY_MS);
  }

  #flushPending(): void {
    clearTimeout(this.#pushTimer);
    this.#pushTimer = undefined;
    const waiting = new Set(this.#exchange.listPendingPartners());
    for (const vm of this.membership.listMembers()) {
      if (waiting.has(formatIncarnation(vm.incarnation))) {
        void this.#sendTo(vm);
      }
    }
  }

  async #sendTo(target: Vm): Promise<boolean> {
    let message: HeartbeatMessage | undefined = this.#protocol.buildMessage(
      target,
    );
    while (message !== undefined) {
      const result = await this.#sendHeartbeat(encodeHeartbeat(message), {
        to: target.peerAddress,
        timeoutMs: HEARTBEAT_TIMEOUT_MS,
      });
      if (this.#isStopped) {
        return false;
      }
      if (!result.ok) {
        void this.#probeThroughOthers(this.#protocol.handleMiss(target));
        return false;
      }
      const answer = decodeHeartbeatReply(result.value);
      message = this.#protocol.handleReply(answer);
    }
    return true;
  }

  async #probeThroughOthers(probe: IndirectProbe | undefined): Promise<void> {
    if (probe === undefined) {
      return;
    }
    const request: ProbeRequest = { target: probe.target.incarnation };
    const replies = await Promise.all(
      probe.helpers.map((helper) =>
        this.#sendProbe(request, {
          to: helper.peerAddress,
          timeoutMs: PROBE_TIMEOUT_MS,
        })
      ),
    );
    const answers = replies
      .filter((reply) => reply.ok)
      .map((reply) => reply.value.isReached);
    this.#protocol.handleProbeResult({ target: probe.target, answers });
  }

  async #updateList(): Promise<void> {
    const { list, self } = this.#options;
    const state = this.#isLeaving ? VM_LIST_STATE.leaving : VM_LIST_STATE.live;
    await list.register({ vm: self, state });
    const rows = await list.read();
    if (rows.ok && !this.#isStopped) {
      this.membership.applyList(
        rows.value.map((row) => ({
          vm: row.vm,
          isLeaving: row.state === VM_LIST_STATE.leaving,
        })),
      );
    }
  }

  async #probeFor(request: ProbeRequest): Promise<ProbeReply> {
    const incarnation = decodeIncarnation(request.target);
    const target = this.membership.findVm(incarnation);
    if (target === undefined) {
      return { isReached: false };
    }
    const message = encodeHeartbeat(this.#protocol.buildMessage(target));
    const result = await this.#sendHeartbeat(message, {
      to: target.peerAddress,
      timeoutMs: HEARTBEAT_TIMEOUT_MS,
    });
    if (!result.ok) {
      return { isReached: false };
    }
    const answer = decodeHeartbeatReply(result.value);
    this.#protocol.handleReply(answer);
    return { isReached: isSameIncarnation(answer.sender, incarnation) };
  }

  #buildHandlers(): {
    readonly heartbeat: handleUnaryCall<HeartbeatRequest, HeartbeatReply>;
    readonly probe: handleUnaryCall<ProbeRequest, ProbeReply>;
    readonly fetchConfiguration: handleUnaryCall<
      FetchConfigurationRequest,
      FetchConfigurationReply
    >;
  } {
    return {
      heartbeat: (call, callback) => {
        const message = decodeHeartbeat(call.request);
        const answer = this.#protocol.handleMessage(message);
        callback(null, encodeHeartbeatReply(answer));
      },
      probe: (call: ServerUnaryCall<ProbeRequest, ProbeReply>, callback) => {
        void this.#probeFor(call.request).then((reply) => {
          callback(null, reply);
        });
      },
      fetchConfiguration: (call, callback) => {
        callback(null, this.#respond?.(call.request) ?? NOTHING_TO_FETCH);
      },
    };
  }
}

const NOTHING_TO_FETCH: FetchConfigurationReply = {
  partCount: 0,
  nextOffset: 0,
  content: Buffer.alloc(0),
};
