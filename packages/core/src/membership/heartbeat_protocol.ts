/**
 * SWIM-style failure detector: heartbeats to a few partners, indirect probes of
 * partners that do not reply, and suspicions spread by gossip.
 */

import {
  formatIncarnation,
  type Vm,
  type VmIncarnation,
} from "@limpetford/domain/vm";

import type { FactExchange, FactMessage } from "../gossip/fact_exchange.ts";
import type { FactStore } from "../gossip/fact_store.ts";
import type { Clock } from "../time/clock.ts";
import type { RandomSource } from "../time/random_source.ts";
import type { FleetMembership } from "./fleet_membership.ts";
import { choosePartners } from "./partner_rings.ts";

/** Time between two heartbeats to a partner, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
/** Time that a partner has to reply to a heartbeat, in milliseconds. */
export const HEARTBEAT_TIMEOUT_MS = 800;

/** Number of consecutive missed replies per indirect probe of a VM. */
const MISSES_PER_INDIRECT_PROBE = 3;
/** Number of other VMs asked to probe a VM that does not reply. */
const INDIRECT_PROBE_HELPER_COUNT = 2;
/**
 * Heartbeat rounds between two heartbeats to a randomly picked suspected VM.
 */
const ROUNDS_PER_SUSPECT_HEARTBEAT = 3;

/** A heartbeat, its reply, or facts pushed between two heartbeats. */
export interface HeartbeatMessage {
  readonly sender: VmIncarnation;
  /** Record of the sender; undefined if the receiver should know it. */
  readonly record: Vm | undefined;
  /**
   * Time in milliseconds since the newest read of the log whose contents the
   * sender knows.
   */
  readonly logAgeMs: number;
  readonly facts: FactMessage;
}

/** An indirect probe: other VMs are asked to contact the target. */
export interface IndirectProbe {
  readonly target: Vm;
  /** VMs that are asked to contact the target. */
  readonly helpers: readonly Vm[];
}

/** Results of an {@link IndirectProbe} reported by its helpers. */
export interface IndirectProbeResult {
  readonly target: Vm;
  /** For each helper that replied, whether it reached the target. */
  readonly replies: readonly boolean[];
}

/** Dependencies of a {@link HeartbeatProtocol}. */
export interface HeartbeatProtocolOptions {
  readonly membership: FleetMembership;
  readonly facts: FactStore;
  readonly exchange: FactExchange;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/**
 * Decides which VMs to send heartbeats to, and which VMs to suspect from
 * replies and missing replies. Sends nothing itself.
 */
export class HeartbeatProtocol {
  readonly #membership: FleetMembership;
  readonly #facts: FactStore;
  readonly #exchange: FactExchange;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  /** Number of consecutive heartbeats without a reply, by partner. */
  readonly #misses = new Map<string, number>();
  #candidates: readonly Vm[] | undefined;
  #partners: readonly Vm[] = [];
  #round = 0;
  /**
   * Monotonic time in milliseconds of the newest read of the log whose contents
   * this VM knows; -Infinity before the first.
   */
  #logReadAtMs = -Infinity;
  #lastMessageAtMs: number;

  /**
   * Creates the protocol.
   *
   * @param options - membership, facts, clock and random numbers
   */
  constructor(options: HeartbeatProtocolOptions) {
    this.#membership = options.membership;
    this.#facts = options.facts;
    this.#exchange = options.exchange;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#lastMessageAtMs = options.clock.readMonotonicMs();
  }

  /**
   * Plans the heartbeats of the next round.
   *
   * @returns VMs to contact now: the partners and at times a suspected VM
   */
  planRound(): readonly Vm[] {
    this.#round += 1;
    this.#membership.expireUnlisted();
    this.#updatePartners(this.#membership.listReachable());
    return [...this.#partners, ...this.#pickSuspect()];
  }

  /**
   * Builds the next message to a VM, with the facts pending for it.
   *
   * @param target - VM that the message is for
   * @returns the heartbeat to send
   */
  buildMessage(target: Vm): HeartbeatMessage {
    const name = formatIncarnation(target.incarnation);
    return this.#buildEnvelope(this.#exchange.buildPush(name));
  }

  /**
   * Handles a message from another VM and builds the reply.
   *
   * @param message - the sender's heartbeat, with facts and the age of its last
   * log read
   * @returns the reply, which informs the sender if it is suspected
   */
  handleMessage(message: HeartbeatMessage): HeartbeatMessage {
    const name = formatIncarnation(message.sender);
    this.#recordMessage(message);
    const reply = this.#exchange.handlePush(name, message.facts);
    this.#mergeLogAge(message);
    return this.#buildEnvelope(this.#addSuspicion(reply, message.sender));
  }

  /**
   * Handles the reply of a VM to a message.
   *
   * @param message - the replier's heartbeat, which may request a repair
   * @returns a second message with facts that the VM lacks; undefined if it
   * asked for no repair
   */
  handleReply(message: HeartbeatMessage): HeartbeatMessage | undefined {
    const name = formatIncarnation(message.sender);
    this.#misses.delete(name);
    this.#recordMessage(message);
    const next = this.#exchange.handleReply(name, message.facts);
    this.#mergeLogAge(message);
    return next === undefined ? undefined : this.#buildEnvelope(next);
  }

  /**
   * Handles a heartbeat that was not replied to in time.
   *
   * @param target - the VM that did not reply
   * @returns an indirect probe to run; undefined if there are too few misses or
   * the VM is already suspected
   */
  handleMiss(target: Vm): IndirectProbe | undefined {
    const name = formatIncarnation(target.incarnation);
    const misses = (this.#misses.get(name) ?? 0) + 1;
    this.#misses.set(name, misses);
    if (
      misses % MISSES_PER_INDIRECT_PROBE !== 0 ||
      this.#membership.isSuspected(target.incarnation)
    ) {
      return undefined;
    }
    return { target, helpers: this.#pickHelpers(name) };
  }

  /**
   * Handles the result of an indirect probe and suspects the target if no
   * helper reached it. If no helper replied, this VM itself may be partitioned,
   * so that the target is not suspected, except in a fleet of at most two VMs.
   *
   * @param result - target and replies of the helpers
   */
  handleProbeResult(result: IndirectProbeResult): void {
    const { incarnation } = result.target;
    const isConclusive = result.replies.length > 0 ||
      this.#hasAtMostTwoMembers();
    if (!isConclusive || result.replies.includes(true)) {
      return;
    }
    const key = `liveness:${formatIncarnation(incarnation)}`;
    const known = this.#facts.findFact(key);
    const counter = known?.kind === "vm-liveness" ? known.counter : 0;
    this.#facts.publish({
      kind: "vm-liveness",
      incarnation,
      counter,
      isSuspected: true,
    });
  }

  /** Records that this VM has applied the log up to its end. */
  recordLogRead(): void {
    this.#logReadAtMs = this.#clock.readMonotonicMs();
  }

  /**
   * Computes the time since the newest read of the log, by this VM or by
   * another one, whose contents are known to this VM.
   *
   * @returns milliseconds; Infinity if there was none
   */
  computeLogAgeMs(): number {
    return this.#clock.readMonotonicMs() - this.#logReadAtMs;
  }

  /**
   * Computes the time since the last message from any other VM.
   *
   * @returns milliseconds, counted from creation before the first message
   */
  computeSilenceMs(): number {
    return this.#clock.readMonotonicMs() - this.#lastMessageAtMs;
  }

  #updatePartners(candidates: readonly Vm[]): void {
    if (candidates === this.#candidates) {
      return;
    }
    this.#candidates = candidates;
    this.#partners = choosePartners(this.#membership.readSelf(), candidates);
    const names = this.#partners.map((vm) => formatIncarnation(vm.incarnation));
    this.#exchange.setPartners(names);
    this.#evictMisses(new Set(names));
  }

  #recordMessage(message: HeartbeatMessage): void {
    this.#lastMessageAtMs = this.#clock.readMonotonicMs();
    const vm = message.record ?? this.#membership.findVm(message.sender);
    if (vm !== undefined) {
      this.#membership.recordMessageFrom(vm);
    }
  }

  #mergeLogAge(message: HeartbeatMessage): void {
    if (this.#exchange.hasSameFacts(message.facts)) {
      const readAtMs = this.#clock.readMonotonicMs() - message.logAgeMs;
      this.#logReadAtMs = Math.max(this.#logReadAtMs, readAtMs);
    }
  }

  #addSuspicion(reply: FactMessage, sender: VmIncarnation): FactMessage {
    const key = `liveness:${formatIncarnation(sender)}`;
    const known = this.#facts.findFact(key);
    return known?.kind === "vm-liveness" && known.isSuspected
      ? { ...reply, facts: [...reply.facts, known] }
      : reply;
  }

  #buildEnvelope(facts: FactMessage): HeartbeatMessage {
    const self = this.#membership.readSelf();
    return {
      sender: self.incarnation,
      record: self,
      logAgeMs: this.computeLogAgeMs(),
      facts,
    };
  }

  #pickSuspect(): readonly Vm[] {
    const suspected = this.#membership.listSuspected();
    const isDue = this.#round % ROUNDS_PER_SUSPECT_HEARTBEAT === 0;
    const picked = suspected[this.#random.pickIndex(suspected.length)];
    return isDue && picked !== undefined ? [picked] : [];
  }

  #pickHelpers(target: string): readonly Vm[] {
    const candidates = this.#membership.listReachable().filter((vm) => {
      const name = formatIncarnation(vm.incarnation);
      return name !== target && !this.#misses.has(name);
    });
    const start = this.#random.pickIndex(candidates.length);
    return [...candidates.slice(start), ...candidates.slice(0, start)]
      .slice(0, INDIRECT_PROBE_HELPER_COUNT);
  }

  #hasAtMostTwoMembers(): boolean {
    return this.#membership.listMembers().length <= 2;
  }

  #evictMisses(partners: ReadonlySet<string>): void {
    for (const name of [...this.#misses.keys()]) {
      if (!partners.has(name)) {
        this.#misses.delete(name);
      }
    }
  }
}
