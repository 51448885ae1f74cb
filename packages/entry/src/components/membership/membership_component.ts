/** Exchanges heartbeats with other VMs and polls the platform's VM list. */

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

/** Interval at which this VM registers itself and reads the VM list. */
const LIST_INTERVAL_MS = 2_000;
/** Delay that lets facts published at about the same time share a message. */
const PUSH_DELAY_MS = 10;
const FETCH_TIMEOUT_MS = 2_000;
const MAX_FETCH_ATTEMPTS = 3;
/** Key for the rendezvous order of log readers; no shard has this id. */
const LOG_READER_ORDER_KEY = toId<ShardId>(-1);
/** Covers the helper's heartbeat to the target and its reply to this VM. */
const PROBE_TIMEOUT_MS = HEARTBEAT_TIMEOUT_MS * 2;

/** Builds the reply to a VM that fetches the configuration. */
export type ConfigurationResponder = (
  request: FetchConfigurationRequest,
) => FetchConfigurationReply;

/** Dependencies of a {@link MembershipComponent}. */
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
 * Runs the heartbeat protocol, in which VMs detect failures and gossip facts,
 * and keeps the fleet membership up to date with the platform's VM list.
 */
export class MembershipComponent extends VmComponent
  implements ConfigurationPeers {
  /** Membership of the fleet as known to this VM. */
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
  #configurationResponder: ConfigurationResponder | undefined;

  /**
   * Creates the component and registers its service with the peer server.
   *
   * @param options - this VM, VM list, RPC channels and fact store
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
    this.#runHeartbeatRound();
    this.#timers.push(
      setInterval(() => {
        this.#runHeartbeatRound();
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
   * Sets the function that replies to VMs that fetch the configuration. Without
   * one, the reply is empty.
   *
   * @param respond - builds the reply to a request
   */
  setConfigurationResponder(respond: ConfigurationResponder): void {
    this.#configurationResponder = respond;
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
    const order = sortByRendezvous(LOG_READER_ORDER_KEY, reachable);
    return order.indexOf(self);
  }

  async fetchConfiguration(
    nextOffset: number,
  ): Promise<ConfigurationState | undefined> {
    const candidates = this.membership.listReachable();
    const first = this.#options.random.pickIndex(candidates.length);
    for (let attempt = 0; attempt < MAX_FETCH_ATTEMPTS; attempt += 1) {
      const vm = candidates[(first + attempt) % candidates.length];
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

  #runHeartbeatRound(): void {
    this.#reachableCount = 1 + this.membership.listReachable().length;
    for (const target of this.#protocol.planRound()) {
      void this.#sendHeartbeatTo(target);
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
        void this.#sendHeartbeatTo(vm);
      }
    }
  }

  async #sendHeartbeatTo(target: Vm): Promise<boolean> {
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
        void this.#probeIndirectly(this.#protocol.handleMiss(target));
        return false;
      }
      const reply = decodeHeartbeatReply(result.value);
      message = this.#protocol.handleReply(reply);
    }
    return true;
  }

  async #probeIndirectly(probe: IndirectProbe | undefined): Promise<void> {
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
    const results = replies
      .filter((reply) => reply.ok)
      .map((reply) => reply.value.isReached);
    this.#protocol.handleProbeResult({
      target: probe.target,
      replies: results,
    });
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

  async #handleProbe(request: ProbeRequest): Promise<ProbeReply> {
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
    const reply = decodeHeartbeatReply(result.value);
    this.#protocol.handleReply(reply);
    return { isReached: isSameIncarnation(reply.sender, incarnation) };
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
        const heartbeatReply = this.#protocol.handleMessage(message);
        callback(null, encodeHeartbeatReply(heartbeatReply));
      },
      probe: (call: ServerUnaryCall<ProbeRequest, ProbeReply>, callback) => {
        void this.#handleProbe(call.request).then((reply) => {
          callback(null, reply);
        });
      },
      fetchConfiguration: (call, callback) => {
        callback(
          null,
          this.#configurationResponder?.(call.request) ??
            EMPTY_CONFIGURATION_REPLY,
        );
      },
    };
  }
}

const EMPTY_CONFIGURATION_REPLY: FetchConfigurationReply = {
  partCount: 0,
  nextOffset: 0,
  content: Buffer.alloc(0),
};
