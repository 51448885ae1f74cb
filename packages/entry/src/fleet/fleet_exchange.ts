/** Keeps this VM and the others up to date with each other. */

import { EVIDENCE } from "@limpetford/core/placement/gray_failure_estimator";
import type { VmId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";
import {
  type FleetCallClient,
  FleetCallServer,
} from "@limpetford/peer/fleet_calls";
import type { EvidenceRow, SyncMessage } from "@limpetford/peer/fleet_sync";

import {
  decodeEvidence,
  SyncMessages,
  type SyncMessagesOptions,
} from "./sync_messages.ts";

const CALL_TIMEOUT_MS = 250;
/** Longest time-out, used while many VMs seem not to answer. */
const LONGEST_CALL_TIMEOUT_MS = 1_000;
const LEAD_INTERVAL_MS = 250;
/** A partner that should call and does not for this long is called. */
const SILENT_AFTER_MS = 600;
const FOLLOWER_INTERVAL_MS = 500;
const LEAD_TICK_MS = 50;
const FOLLOWER_TICK_MS = 250;
/** A tick this late shows that the process was frozen. */
const FROZEN_AFTER_MS = 1_000;

/** What the exchange works with. */
export interface FleetExchangeOptions extends SyncMessagesOptions {
  readonly client: FleetCallClient;
  /** Peer addresses to ask before any VM is known. */
  readonly seeds: readonly Vm["peerAddress"][];
}

interface Partner {
  nextAtMs: number;
  isCalling: boolean;
  evidence: EvidenceRow[];
}

/**
 * A VM that takes callers exchanges load, evidence and demand with the leads of
 * the other zones; every other VM follows the lead of its zone.
 */
export class FleetExchange {
  readonly #options: FleetExchangeOptions;
  readonly #messages: SyncMessages;
  readonly #server: FleetCallServer;
  readonly #partners = new Map<VmId, Partner>();
  #timer: NodeJS.Timeout | undefined;
  #tickedAtMs = 0;
  #ownLead: VmId | undefined;
  #seedIndex = 0;
  readonly #seedPartner: Partner = {
    nextAtMs: 0,
    isCalling: false,
    evidence: [],
  };
  #isStopped = false;

  /**
   * Prepares the exchange.
   *
   * @param options - what it works with
   */
  constructor(options: FleetExchangeOptions) {
    this.#options = options;
    this.#messages = new SyncMessages(options);
    this.#server = new FleetCallServer({
      handleExchange: (message) => this.#handleExchange(message),
      handleEvidence: ({ evidence }) => {
        options.router.applyPeerEvidence(evidence.map(decodeEvidence));
      },
      handleTokenRequest: (request) =>
        options.limiter.handleTokenRequest(request),
    });
  }

  /**
   * True while no other VM has been heard of lately.
   *
   * @returns the current value
   */
  get isAlone(): boolean {
    const { state, peers, self, clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    return !state.listVms().some((vm) =>
      vm.incarnation.vm !== self.incarnation.vm &&
      nowMs - peers.getPeer(vm).heardAtMs < FROZEN_AFTER_MS
    );
  }

  /** Answers calls, and begins to exchange. */
  async start(): Promise<void> {
    await this.#server.bind(this.#options.self.peerAddress);
    this.#tickedAtMs = this.#options.clock.readMonotonicMs();
    this.#scheduleTick();
  }

  /** Stops exchanging and answering. */
  stop(): void {
    this.#server.close();
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  /** Lets all partners know of news at once. */
  notifyPartners(): void {
    for (const partner of this.#partners.values()) {
      partner.nextAtMs = 0;
    }
    this.#runTick();
  }

  /**
   * Position of this VM in the order in which the store is read.
   *
   * @returns 0 for the first lead; infinite for a VM that does not lead
   */
  readReaderRank(): number {
    const { peers, self } = this.#options;
    if (peers.ownLeadSinceMs === undefined) {
      return Infinity;
    }
    const leads = peers.listLeads().map((vm) => vm.incarnation.vm).sort();
    return Math.max(0, leads.indexOf(self.incarnation.vm));
  }

  #scheduleTick(): void {
    const isLead = this.#options.peers.ownLeadSinceMs !== undefined;
    const isSettled = this.#ownLead !== undefined && !isLead;
    this.#timer = setTimeout(() => {
      this.#runTick();
      this.#scheduleTick();
    }, isSettled ? FOLLOWER_TICK_MS : LEAD_TICK_MS);
  }

  #runTick(): void {
    if (this.#isStopped) {
      return;
    }
    const { clock, peers } = this.#options;
    const nowMs = clock.readMonotonicMs();
    if (nowMs - this.#tickedAtMs > FROZEN_AFTER_MS) {
      // Others have taken over meanwhile.
      peers.ownLeadSinceMs = undefined;
    }
    this.#tickedAtMs = nowMs;
    this.sendEvidence();
    const isLead = this.#updateLead();
    const partners = this.#choosePartners(isLead);
    if (partners.length === 0 && !isLead) {
      this.#sendToSeed();
    }
    const intervalMs = isLead ? LEAD_INTERVAL_MS : FOLLOWER_INTERVAL_MS;
    for (const vm of partners) {
      const partner = this.#getPartner(vm.incarnation.vm);
      if (isLead && !this.#shouldCall(vm, nowMs)) {
        continue;
      }
      if (!partner.isCalling && nowMs >= partner.nextAtMs) {
        partner.nextAtMs = nowMs + intervalMs;
        void this.#sendExchange(vm, partner);
      }
    }
  }

  // One call informs both, so of two leads only one calls.
  #shouldCall(vm: Vm, nowMs: number): boolean {
    const { self, peers } = this.#options;
    return self.incarnation.vm < vm.incarnation.vm ||
      nowMs - peers.getPeer(vm).heardAtMs > SILENT_AFTER_MS ||
      this.#getPartner(vm.incarnation.vm).nextAtMs === 0;
  }

  #updateLead(): boolean {
    const { peers, self, clock, log, limiter, router } = this.#options;
    peers.ownRequestsPerSecond = limiter.readRequestsPerSecond();
    const leads = peers.listZoneLeads(self.zone);
    const lead = leads[0]?.incarnation.vm;
    const isLead = leads.some((vm) =>
      vm.incarnation.vm === self.incarnation.vm
    );
    if (!isLead) {
      peers.ownLeadSinceMs = undefined;
    } else {
      peers.ownLeadSinceMs ??= clock.readWallMs();
    }
    router.setVmCount(isLead ? peers.listLeads().length : undefined);
    if (lead !== this.#ownLead) {
      log.record("lead-changed", {
        zone: self.zone,
        lead: lead ?? "",
        before: this.#ownLead ?? "",
      });
      this.#ownLead = lead;
    }
    return isLead;
  }

  #choosePartners(isLead: boolean): readonly Vm[] {
    const { peers, self } = this.#options;
    const leads = isLead
      ? peers.listLeads()
      : [peers.chooseLead(self.zone) ?? peers.listLeads()[0]];
    const partners = leads.filter((vm): vm is Vm =>
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

  /** Shares the evidence that has not been shared yet. */
  sendEvidence(): void {
    const taken = this.#options.router.takeEvidence();
    if (taken.length === 0) {
      return;
    }
    const rows = taken.map(({ server, evidence, isLinkFailure }) =>
      [server, evidence, isLinkFailure] as const
    );
    const isUrgent = rows.some(([, evidence]) => evidence === EVIDENCE.failure);
    for (const [id, partner] of this.#partners) {
      partner.evidence.push(...rows);
      const vm = isUrgent ? this.#options.state.findVm(id) : undefined;
      if (vm !== undefined) {
        void this.#sendUrgent(vm, partner.evidence);
        partner.evidence = [];
      }
    }
  }

  // A failure is told at once; what is lost with a reply is old news soon.
  async #sendUrgent(vm: Vm, evidence: readonly EvidenceRow[]): Promise<void> {
    const { self } = this.#options;
    await this.#options.client.sendEvidence({
      from: self.incarnation.vm,
      evidence,
    }, {
      to: vm.peerAddress,
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }

  async #sendExchange(vm: Vm, partner: Partner): Promise<void> {
    const { peers, clock, log } = this.#options;
    const peer = peers.getPeer(vm);
    const isFirstContact = !Number.isFinite(peer.heardAtMs);
    const message = this.#messages.build(peer, partner.evidence);
    partner.evidence = [];
    partner.isCalling = true;
    const sentAtMs = clock.readMonotonicMs();
    const reply = await this.#options.client.sendExchange(message, {
      to: vm.peerAddress,
      timeoutMs: this.#computeTimeoutMs(),
    });
    partner.isCalling = false;
    if (reply.ok) {
      this.#messages.apply(reply.value, sentAtMs);
      if (isFirstContact) {
        // Now it is known what the other VM lacks.
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

  // Where several VMs seem gone, calls are slow rather than all of them: another
  // lead would be as slow, and the more so for being asked by everybody.
  #computeTimeoutMs(): number {
    const { peers } = this.#options;
    return Math.min(
      LONGEST_CALL_TIMEOUT_MS,
      CALL_TIMEOUT_MS * (1 + peers.countSuspected()),
    );
  }

  #sendToSeed(): void {
    const { seeds, clock } = this.#options;
    const partner = this.#seedPartner;
    const nowMs = clock.readMonotonicMs();
    const seed = seeds[this.#seedIndex % Math.max(1, seeds.length)];
    if (seed === undefined || partner.isCalling || nowMs < partner.nextAtMs) {
      return;
    }
    this.#seedIndex += 1;
    partner.nextAtMs = nowMs + LEAD_INTERVAL_MS;
    partner.isCalling = true;
    void this.#options.client.sendExchange(
      this.#messages.build(undefined, []),
      {
        to: seed,
        timeoutMs: CALL_TIMEOUT_MS,
      },
    ).then((reply) => {
      partner.isCalling = false;
      if (reply.ok) {
        this.#messages.apply(reply.value, nowMs);
      }
    });
  }

  #handleExchange(message: SyncMessage): SyncMessage {
    const { peers, state, self } = this.#options;
    // A message may have waited while this process was frozen, so only the echo
    // of this VM's own clock tells how old its news may be.
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
