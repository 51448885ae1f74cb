/** Synchronizes state between VMs by periodic message exchange. */

import { EVIDENCE } from "@limpetford/core/placement/gray_failure_estimator";
import type { VmId } from "@limpetford/domain/ids";
import type { SocketAddress, Vm } from "@limpetford/domain/vm";
import { FleetCallServer } from "@limpetford/peer/fleet_call_server";
import type { FleetCallClient } from "@limpetford/peer/fleet_calls";
import type {
  EvidenceRow,
  FleetSyncHandlers,
  SyncMessage,
} from "@limpetford/peer/fleet_sync";

import type { InputLimiter } from "../http/input_limiter.ts";
import type { ContainedExceptions } from "../telemetry/contained_exceptions.ts";
import type { EventLoopMonitor } from "../vm/event_loop_monitor.ts";
import { FleetContacts } from "./fleet_contacts.ts";
import type { FleetReach } from "./fleet_reach.ts";
import type { ServerTokenIssuer } from "./server_token_issuer.ts";
import type { SuspicionNotice } from "./suspicion_sync.ts";
import {
  decodeEvidence,
  SyncMessages,
  type SyncMessagesOptions,
} from "./sync_messages.ts";
import { ZoneLeadership } from "./zone_leadership.ts";

const CALL_TIMEOUT_MS = 250;
/** Upper limit of the timeout, which grows with the number of suspected VMs. */
const MAX_CALL_TIMEOUT_MS = 1_000;
const LEADER_INTERVAL_MS = 250;
/**
 * The same between leaders of different zones, where bytes are dear. Changes and
 * failures do not wait for it.
 */
const OTHER_ZONE_INTERVAL_MS = 500;
/**
 * After this multiple of the interval without a message, a partner is called even
 * if it is its turn to call.
 */
const MAX_SILENCE_FACTOR = 2.4;
const FOLLOWER_INTERVAL_MS = 500;
const LEADER_TICK_MS = 50;
const FOLLOWER_TICK_MS = 250;
/**
 * A tick this late shows that the process was paused. Also the time without a
 * message after which a peer no longer counts as reachable.
 */
const PAUSE_THRESHOLD_MS = 1_000;

/** Dependencies and seed addresses of a {@link FleetExchange}. */
export interface FleetExchangeOptions extends SyncMessagesOptions {
  readonly client: FleetCallClient;
  readonly loop: EventLoopMonitor;
  /** Bounds what is sent to the peer address. */
  readonly inputs: InputLimiter;
  /** Receives what calls and ticks throw; the next ones follow. */
  readonly exceptions: ContainedExceptions;
  /** Peer addresses to call while no other VM is known. */
  readonly seeds: readonly SocketAddress[];
  readonly tokenIssuer: ServerTokenIssuer;
  readonly handleForwarded: FleetSyncHandlers["handleForwarded"];
  readonly reach: Pick<
    FleetReach,
    "listRows" | "applyRows" | "update" | "verify"
  >;
}

// A VM that this one exchanges messages with.
interface Partner {
  /** Monotonic time of the next call. */
  nextAtMs: number;
  isCalling: boolean;
  /** Evidence to send with the next message. */
  evidence: EvidenceRow[];
}

/**
 * Exchanges configuration, server list, load, evidence and demand with other
 * VMs. A leader, which is a VM that serves the callers of its zone, exchanges
 * messages with all other leaders; any other VM only with its zone's leader.
 */
export class FleetExchange {
  readonly #options: FleetExchangeOptions;
  readonly #messages: SyncMessages;
  readonly #server: FleetCallServer;
  readonly #partners = new Map<VmId, Partner>();
  #timer: NodeJS.Timeout | undefined;
  #tickedAtMs = 0;
  readonly #leadership: ZoneLeadership;
  readonly #contacts: FleetContacts;
  #isStopped = false;

  /**
   * Creates an exchange that neither calls nor listens yet.
   *
   * @param options - dependencies and seed addresses
   */
  constructor(options: FleetExchangeOptions) {
    this.#options = options;
    this.#messages = new SyncMessages(options);
    this.#leadership = new ZoneLeadership(options);
    this.#contacts = new FleetContacts({
      ...options,
      messages: this.#messages,
    });
    this.#server = new FleetCallServer({
      handleExchange: (message) => this.#handleExchange(message),
      handleEvidence: (notice) => {
        options.balancers.applyPeerEvidence(
          notice.evidence.map(decodeEvidence),
        );
        options.suspicions.applyNotice(notice.from, notice);
      },
      handleTokenRequest: (request) =>
        options.limiter.handleTokenRequest(request),
      handleServerTokenRequest: (request) =>
        options.tokenIssuer.handleRequest(request),
      handleServerLimitReport: (report) => {
        options.tokenIssuer.handleReport(report);
      },
      handleForwarded: options.handleForwarded,
    }, {
      handleException: options.exceptions.buildHandler("peer"),
      prepareServer: (server) => {
        options.inputs.enforce(server);
      },
    });
  }

  /**
   * Whether this VM has received no message from any other VM recently.
   *
   * @returns true if no other VM is known or reachable
   */
  get isIsolated(): boolean {
    const { state, peers, self, clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    return !state.listVms().some((vm) =>
      vm.incarnation.vm !== self.incarnation.vm &&
      nowMs - peers.getPeer(vm).heardAtMs < PAUSE_THRESHOLD_MS
    );
  }

  /** Starts answering calls from other VMs and calling them. */
  async start(): Promise<void> {
    await this.#server.bind(this.#options.self.peerAddress);
    this.#tickedAtMs = this.#options.clock.readMonotonicMs();
    this.#scheduleTick();
  }

  /** Stops calling other VMs and answering their calls. */
  stop(): void {
    this.#server.close();
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  /** Sends changed state to all partners without waiting for their turn. */
  notifyPartners(): void {
    for (const partner of this.#partners.values()) {
      partner.nextAtMs = 0;
    }
    this.#runTick();
  }

  /** Calls all VMs of the zone at once, if they follow this one. */
  notifyZone(): void {
    const { state, self } = this.#options;
    if (!this.#leadership.isFirst) {
      return;
    }
    for (const vm of state.listVms()) {
      const isOther = vm.incarnation.vm !== self.incarnation.vm;
      if (isOther && vm.zone === self.zone) {
        this.#start(this.#contacts.notifyVm(vm));
      }
    }
  }

  /**
   * Computes this VM's rank among the VMs that read the store. Ranks stagger
   * the reads: the first reader passes its results on to the others.
   *
   * @returns the index among all leaders by identifier; infinite for a VM that
   * is not a leader
   */
  computeReaderRank(): number {
    const { peers, self } = this.#options;
    if (peers.ownLeaderSinceMs === undefined) {
      return Infinity;
    }
    const leaders = peers.listLeaders().map((vm) => vm.incarnation.vm).sort();
    return Math.max(0, leaders.indexOf(self.incarnation.vm));
  }

  #scheduleTick(): void {
    const { loop, clock } = this.#options;
    const isSettled = this.#leadership.isFollowing;
    const delayMs = isSettled ? FOLLOWER_TICK_MS : LEADER_TICK_MS;
    loop.setTimerDue(clock.readMonotonicMs() + delayMs);
    this.#timer = setTimeout(() => {
      loop.observeTimer();
      this.#runTick();
      this.#scheduleTick();
    }, delayMs);
  }

  #runTick(): void {
    if (!this.#isStopped) {
      this.#options.exceptions.run("peer", () => {
        this.#advance();
      });
    }
  }

  #advance(): void {
    const { clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    if (nowMs - this.#tickedAtMs > PAUSE_THRESHOLD_MS) {
      // Other VMs have taken over this VM's callers during the pause.
      this.#leadership.clearClaim();
    }
    this.#tickedAtMs = nowMs;
    this.sendEvidence();
    const isLeader = this.#leadership.update();
    const partners = this.#choosePartners(isLeader);
    if (isLeader) {
      this.#contacts.pollSilent(this.#leadership.isFirst);
    } else if (partners.length === 0) {
      this.#contacts.pollSeed();
    }
    for (const vm of partners) {
      const intervalMs = this.#findIntervalMs(vm, isLeader);
      const partner = this.#getPartner(vm.incarnation.vm);
      if (isLeader && !this.#shouldCall(vm, intervalMs)) {
        continue;
      }
      if (!partner.isCalling && nowMs >= partner.nextAtMs) {
        partner.nextAtMs = nowMs + intervalMs;
        this.#start(this.#sendExchange(vm, partner));
      }
    }
  }

  #findIntervalMs(vm: Vm, isLeader: boolean): number {
    if (!isLeader) {
      return FOLLOWER_INTERVAL_MS;
    }
    return vm.zone === this.#options.self.zone
      ? LEADER_INTERVAL_MS
      : OTHER_ZONE_INTERVAL_MS;
  }

  // A call updates both sides, so only the leader with the lower identifier
  // calls the other.
  #shouldCall(vm: Vm, intervalMs: number): boolean {
    const { self, peers, clock } = this.#options;
    const silentMs = clock.readMonotonicMs() - peers.getPeer(vm).heardAtMs;
    return self.incarnation.vm < vm.incarnation.vm ||
      silentMs > intervalMs * MAX_SILENCE_FACTOR ||
      this.#getPartner(vm.incarnation.vm).nextAtMs === 0;
  }

  #choosePartners(isLeader: boolean): readonly Vm[] {
    const { peers, self } = this.#options;
    const leaders = isLeader
      ? peers.listLeaders()
      : [peers.chooseLeader(self.zone) ?? peers.listLeaders()[0]];
    const partners = leaders.filter((vm): vm is Vm =>
      vm !== undefined && vm.incarnation.vm !== self.incarnation.vm
    );
    const ids = new Set(partners.map((vm) => vm.incarnation.vm));
    for (const id of this.#partners.keys()) {
      if (!ids.has(id)) {
        this.#partners.delete(id);
      }
    }
    return partners;
  }

  /** Queues new evidence for all partners; sends failures at once. */
  sendEvidence(): void {
    const taken = this.#options.balancers.takeEvidence();
    const suspicions = this.#options.suspicions.takeNotice();
    if (taken.length === 0 && suspicions === undefined) {
      return;
    }
    const rows = taken.map(({ server, evidence, isLinkFailure }) =>
      [server, evidence, isLinkFailure] as const
    );
    const isUrgent = suspicions !== undefined ||
      rows.some(([, evidence]) => evidence === EVIDENCE.failure);
    for (const [id, partner] of this.#partners) {
      partner.evidence.push(...rows);
      const vm = isUrgent ? this.#options.state.findVm(id) : undefined;
      if (vm !== undefined) {
        this.#start(this.#sendUrgent(vm, partner.evidence, suspicions));
        partner.evidence = [];
      }
    }
  }

  #start(call: Promise<void>): void {
    void this.#options.exceptions.wait("peer", call);
  }

  // Failures are sent without waiting for the next exchange. A lost call is not
  // repeated, because evidence loses its value within seconds.
  // Suspicions are repeated by the exchange, which knows what arrived.
  async #sendUrgent(
    vm: Vm,
    evidence: readonly EvidenceRow[],
    suspicions: SuspicionNotice | undefined,
  ): Promise<void> {
    const { self } = this.#options;
    await this.#options.client.sendEvidence({
      from: self.incarnation.vm,
      evidence,
      ...suspicions,
    }, {
      to: vm.peerAddress,
      timeoutMs: CALL_TIMEOUT_MS,
      compression: this.#messages.chooseCompression(vm),
    });
  }

  async #sendExchange(vm: Vm, partner: Partner): Promise<void> {
    const { peers, clock, log } = this.#options;
    const peer = peers.getPeer(vm);
    const isUnheard = !Number.isFinite(peer.heardAtMs);
    const message = this.#messages.build(peer, partner.evidence);
    partner.evidence = [];
    partner.isCalling = true;
    const sentAtMs = clock.readMonotonicMs();
    const reply = await this.#options.client.sendExchange(message, {
      to: vm.peerAddress,
      timeoutMs: this.#computeTimeoutMs(),
      compression: this.#messages.chooseCompression(vm),
    });
    partner.isCalling = false;
    if (reply.ok) {
      this.#messages.apply(reply.value, sentAtMs);
      if (isUnheard || reply.value.startedAtMs !== peer.startedAtMs) {
        // The reply shows which data the other VM lacks, so send it right away.
        partner.nextAtMs = 0;
      }
      return;
    }
    if (peer.suspectedUntilMs <= clock.readMonotonicMs()) {
      log.record("peer-lost", {
        peer: vm.incarnation.vm,
        cause: reply.error.cause,
      });
    }
    peers.markSuspected(vm);
    this.#runTick();
  }

  // If several VMs time out at once, the likely cause is slow calls rather than
  // that many failures. Another leader would be as slow, and slower still when
  // every VM calls it, so the timeout grows instead.
  #computeTimeoutMs(): number {
    const { peers } = this.#options;
    return Math.min(
      MAX_CALL_TIMEOUT_MS,
      CALL_TIMEOUT_MS * (1 + peers.countSuspected()),
    );
  }

  #handleExchange(message: SyncMessage): SyncMessage {
    const { peers, state, self } = this.#options;
    // The message may have been queued while this process was paused. Only the
    // echoed reading of this VM's own clock limits its age.
    const { echo } = message;
    const isOwnEcho = echo?.startedAtMs === self.incarnation.startedAtMs;
    this.#messages.apply(message, isOwnEcho ? echo.clockMs : -Infinity);
    const from = state.findVm(message.from);
    const peer = from === undefined ? undefined : peers.getPeer(from);
    const partner = this.#partners.get(message.from);
    const evidence = partner?.evidence ?? [];
    if (partner !== undefined) {
      partner.evidence = [];
    }
    return this.#messages.build(peer, evidence);
  }

  #getPartner(id: VmId): Partner {
    const known = this.#partners.get(id);
    if (known !== undefined) {
      return known;
    }
    const created: Partner = { nextAtMs: 0, isCalling: false, evidence: [] };
    this.#partners.set(id, created);
    return created;
  }
}
