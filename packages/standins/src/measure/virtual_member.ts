/** Membership and gossip of one VM in virtual time. */

import { FactExchange } from "@limpetford/core/gossip/fact_exchange";
import { FactStore } from "@limpetford/core/gossip/fact_store";
import { FleetMembership } from "@limpetford/core/membership/fleet_membership";
import {
  HEARTBEAT_INTERVAL_MS,
  HEARTBEAT_TIMEOUT_MS,
  type HeartbeatMessage,
  HeartbeatProtocol,
  type IndirectProbe,
} from "@limpetford/core/membership/heartbeat_protocol";
import { SeededRandomSource } from "@limpetford/core/time/random_source";
import { formatIncarnation, type Vm } from "@limpetford/domain/vm";
import {
  HeartbeatReply,
  HeartbeatRequest,
} from "@limpetford/peer/generated/membership";
import {
  encodeHeartbeat,
  encodeHeartbeatReply,
} from "@limpetford/peer/heartbeat_codec";

import type { MembershipFleet } from "./membership_fleet.ts";

/** Delay in which new facts are collected into one message. */
const PUSH_DELAY_MS = 10;
/** Payload size of an indirect probe and of its reply. */
const PROBE_BYTES = 24;

/** Options of {@link VirtualMember}. */
export interface VirtualMemberOptions {
  readonly vm: Vm;
  readonly fleet: MembershipFleet;
  /** Seed of this member's random numbers. */
  readonly seed: number;
}

/**
 * Runs the production heartbeat protocol over simulated links.
 */
export class VirtualMember {
  readonly vm: Vm;
  readonly facts = new FactStore();
  readonly membership: FleetMembership;
  readonly protocol: HeartbeatProtocol;
  /** True while the process runs. */
  isRunning = true;
  readonly #fleet: MembershipFleet;
  readonly #exchange: FactExchange;
  readonly #random: SeededRandomSource;
  #isPushScheduled = false;

  /**
   * Creates the member; it sends nothing before {@link start}.
   *
   * @param options - the VM, its fleet and the seed
   */
  constructor(options: VirtualMemberOptions) {
    const { vm, fleet, seed } = options;
    this.vm = vm;
    this.#fleet = fleet;
    this.#random = new SeededRandomSource(seed);
    const clock = fleet.time;
    this.membership = new FleetMembership({
      self: vm,
      facts: this.facts,
      clock,
    });
    this.#exchange = new FactExchange(this.facts);
    this.protocol = new HeartbeatProtocol({
      membership: this.membership,
      facts: this.facts,
      exchange: this.#exchange,
      clock,
      random: this.#random,
    });
  }

  /** Starts the heartbeat rounds after a random part of the interval. */
  start(): void {
    this.#exchange.subscribePending(() => {
      this.#schedulePush();
    });
    const phaseMs = this.#random.sampleUniform() * HEARTBEAT_INTERVAL_MS;
    this.#fleet.time.schedule(phaseMs, () => {
      this.#runRound();
    });
  }

  /**
   * Handles a heartbeat of another member.
   *
   * @param message - the heartbeat as received
   * @returns the reply to send back
   */
  handleMessage(message: HeartbeatMessage): HeartbeatMessage {
    return this.protocol.handleMessage(message);
  }

  #runRound(): void {
    if (!this.isRunning) {
      return;
    }
    for (const target of this.protocol.planRound()) {
      this.#sendTo(target, this.protocol.buildMessage(target));
    }
    this.#fleet.time.schedule(HEARTBEAT_INTERVAL_MS, () => {
      this.#runRound();
    });
  }

  #schedulePush(): void {
    if (this.#isPushScheduled) {
      return;
    }
    this.#isPushScheduled = true;
    this.#fleet.time.schedule(PUSH_DELAY_MS, () => {
      this.#isPushScheduled = false;
      const pendingPartners = new Set(this.#exchange.listPendingPartners());
      for (const vm of this.membership.listMembers()) {
        if (pendingPartners.has(formatIncarnation(vm.incarnation))) {
          this.#sendTo(vm, this.protocol.buildMessage(vm));
        }
      }
    });
  }

  #sendTo(target: Vm, message: HeartbeatMessage): void {
    let hasReply = false;
    const receiver = this.#fleet.findMember(target);
    this.#fleet.links.send({
      from: this.vm,
      to: target,
      bytes: HeartbeatRequest.encode(encodeHeartbeat(message)).finish().length,
      deliver: () => {
        if (receiver?.isRunning !== true) {
          return;
        }
        const reply = receiver.handleMessage(message);
        this.#fleet.links.send({
          from: target,
          to: this.vm,
          bytes: measureReply(reply),
          deliver: () => {
            hasReply = true;
            this.#handleReply(target, reply);
          },
        });
      },
    });
    this.#fleet.time.schedule(HEARTBEAT_TIMEOUT_MS, () => {
      if (!hasReply && this.isRunning) {
        this.#probeIndirectly(this.protocol.handleMiss(target));
      }
    });
  }

  #handleReply(target: Vm, reply: HeartbeatMessage): void {
    if (!this.isRunning) {
      return;
    }
    const next = this.protocol.handleReply(reply);
    if (next !== undefined) {
      this.#sendTo(target, next);
    }
  }

  #probeIndirectly(probe: IndirectProbe | undefined): void {
    if (probe === undefined) {
      return;
    }
    const answers: boolean[] = [];
    for (const helper of probe.helpers) {
      this.#sendProbeRequest(helper, probe.target, (isReached) => {
        answers.push(isReached);
      });
    }
    this.#fleet.time.schedule(2 * HEARTBEAT_TIMEOUT_MS, () => {
      this.protocol.handleProbeResult({
        target: probe.target,
        replies: answers,
      });
    });
  }

  #sendProbeRequest(
    helper: Vm,
    target: Vm,
    report: (isReached: boolean) => void,
  ): void {
    const { links, time } = this.#fleet;
    const sendResult = (isReached: boolean): void => {
      links.send({
        from: helper,
        to: this.vm,
        bytes: PROBE_BYTES,
        deliver: () => {
          report(isReached);
        },
      });
    };
    links.send({
      from: this.vm,
      to: helper,
      bytes: PROBE_BYTES,
      deliver: () => {
        if (this.#fleet.findMember(helper)?.isRunning !== true) {
          return;
        }
        const isReached = !links.isCut(helper, target) &&
          !links.isCut(target, helper) &&
          this.#fleet.findMember(target)?.isRunning === true;
        time.schedule(isReached ? 2 : HEARTBEAT_TIMEOUT_MS, () => {
          sendResult(isReached);
        });
      },
    });
  }
}

function measureReply(reply: HeartbeatMessage): number {
  return HeartbeatReply.encode(encodeHeartbeatReply(reply)).finish().length;
}
