/** Heartbeats to a few partners, and suspicion of those that fall silent. */

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
/** Time that a partner has to answer, in milliseconds. */
export const HEARTBEAT_TIMEOUT_MS = 800;

const MISSES_BEFORE_PROBE = 3;
const HELPER_COUNT = 2;
const ROUNDS_BETWEEN_SUSPECT_CONTACTS = 3;

/** A heartbeat, its answer, or a push of facts between two heartbeats. */
export interface HeartbeatMessage {
  readonly sender: VmIncarnation;
  /** Record of the sender; undefined if the receiver must know it. */
  readonly record: Vm | undefined;
  /** Age of the newest reading of the log behind the sender's facts. */
  readonly logAgeMs: number;
  readonly facts: FactMessage;
}

/** A request to reach a VM through others. */
export interface IndirectProbe {
  readonly target: Vm;
  readonly helpers: readonly Vm[];
}

/** Answers of the helpers of an {@link IndirectProbe}. */
export interface IndirectProbeResult {
  readonly target: Vm;
  /** One element per helper that answered: whether it reached the target. */
  readonly answers: readonly boolean[];
}

/** What the protocol works with. */
export interface HeartbeatProtocolOptions {
  readonly membership: FleetMembership;
  readonly facts: FactStore;
  readonly exchange: FactExchange;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/**
 * Decides whom to contact, and what silence and answers mean.
 */
export class HeartbeatProtocol {
  readonly #membership: FleetMembership;
  readonly #facts: FactStore;
  readonly #exchange: FactExchange;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  /** Heartbeats in a row without an answer, by partner. */
  readonly #misses = new Map<string, number>();
  #candidates: readonly Vm[] | undefined;
  #partners: readonly Vm[] = [];
  #round = 0;
  /** Monotonic time of the newest reading of the log that this VM has. */
  #logReadAtMs = -Infinity;
  #heardAtMs: number;

  /**
   * Creates the protocol.
   *
   * @param options - the parts it works with
   */
  constructor(options: HeartbeatProtocolOptions) {
    this.#membership = options.membership;
    this.#facts = options.facts;
    this.#exchange = options.exchange;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#heardAtMs = options.clock.readMonotonicMs();
  }

  /**
   * Plans the heartbeats of the next round.
   *
   * @returns the VMs to contact now
   */
  planRound(): readonly Vm[] {
    this.#round += 1;
    this.#membership.expireHeard();
    this.#updatePartners(this.#membership.listReachable());
    return [...this.#partners, ...this.#pickSuspect()];
  }

  /**
   * Builds the message to a VM, with the facts waiting for it.
   *
   * @param target - the receiver
   * @returns the message
   */
  buildMessage(target: Vm): HeartbeatMessage {
    const name = formatIncarnation(target.incarnation);
    return this.#buildEnvelope(this.#exchange.buildPush(name));
  }

  /**
   * Handles a message from another VM and builds the answer.
   *
   * @param message - the message
   * @returns the answer
   */
  handleMessage(message: HeartbeatMessage): HeartbeatMessage {
    const name = formatIncarnation(message.sender);
    this.#recordHeard(message);
    const answer = this.#exchange.handlePush(name, message.facts);
    this.#mergeLogAge(message);
    return this.#buildEnvelope(this.#addSuspicion(answer, message.sender));
  }

  /**
   * Handles the answer of a VM to a message.
   *
   * @param message - the answer
   * @returns a second message to the same VM, or undefined
   */
  handleReply(message: HeartbeatMessage): HeartbeatMessage | undefined {
    const name = formatIncarnation(message.sender);
    this.#misses.delete(name);
    this.#recordHeard(message);
    const next = this.#exchange.handleReply(name, message.facts);
    this.#mergeLogAge(message);
    return next === undefined ? undefined : this.#buildEnvelope(next);
  }

  /**
   * Handles the lack of an answer.
   *
   * @param target - the silent VM
   * @returns a probe through others, or undefined if it is too early
   */
  handleMiss(target: Vm): IndirectProbe | undefined {
    const name = formatIncarnation(target.incarnation);
    const misses = (this.#misses.get(name) ?? 0) + 1;
    this.#misses.set(name, misses);
    if (
      misses % MISSES_BEFORE_PROBE !== 0 ||
      this.#membership.isSuspected(target.incarnation)
    ) {
      return undefined;
    }
    return { target, helpers: this.#pickHelpers(name) };
  }

  /**
   * Handles what the helpers of a probe found out. Without any answer, this
   * VM may be the one that is cut off, so nobody is suspected.
   *
   * @param result - the answers
   */
  handleProbeResult(result: IndirectProbeResult): void {
    const { incarnation } = result.target;
    const hasWitness = result.answers.length > 0 || this.#isOnlyPair();
    if (!hasWitness || result.answers.includes(true)) {
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

  /** Records that all records of the log up to now have been applied. */
  recordLogRead(): void {
    this.#logReadAtMs = this.#clock.readMonotonicMs();
  }

  /**
   * Computes the age of the newest reading of the log whose facts are known
   * here, by this VM or by another one that told of it.
   *
   * @returns milliseconds; infinite if there was none
   */
  computeLogAgeMs(): number {
    return this.#clock.readMonotonicMs() - this.#logReadAtMs;
  }

  /**
   * Computes the time since the last message from any VM.
   *
   * @returns milliseconds
   */
  computeSilenceMs(): number {
    return this.#clock.readMonotonicMs() - this.#heardAtMs;
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

  #recordHeard(message: HeartbeatMessage): void {
    this.#heardAtMs = this.#clock.readMonotonicMs();
    const vm = message.record ?? this.#membership.findVm(message.sender);
    if (vm !== undefined) {
      this.#membership.recordHeard(vm);
    }
  }

  #mergeLogAge(message: HeartbeatMessage): void {
    if (this.#exchange.isInAgreement(message.facts)) {
      const readAtMs = this.#clock.readMonotonicMs() - message.logAgeMs;
      this.#logReadAtMs = Math.max(this.#logReadAtMs, readAtMs);
    }
  }

  #addSuspicion(answer: FactMessage, sender: VmIncarnation): FactMessage {
    const key = `liveness:${formatIncarnation(sender)}`;
    const known = this.#facts.findFact(key);
    return known?.kind === "vm-liveness" && known.isSuspected
      ? { ...answer, facts: [...answer.facts, known] }
      : answer;
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
    const isDue = this.#round % ROUNDS_BETWEEN_SUSPECT_CONTACTS === 0;
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
      .slice(0, HELPER_COUNT);
  }

  #isOnlyPair(): boolean {
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
