/** One VM's membership and gossip under virtual time. */

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

import type { VirtualFleet } from "./virtual_fleet.ts";

const PUSH_DELAY_MS = 10;
const PROBE_BYTES = 24;

/** What a member is built from. */
export interface VirtualMemberOptions {
  readonly vm: Vm;
  readonly fleet: VirtualFleet;
  readonly seed: number;
}

/**
 * Drives the real protocol over virtual links.
 */
export class VirtualMember {
  readonly vm: Vm;
  readonly facts = new FactStore();
  readonly membership: FleetMembership;
  readonly protocol: HeartbeatProtocol;
  /** True while the process runs. */
  isRunning = true;
  readonly #fleet: VirtualFleet;
  readonly #exchange: FactExchange;
  readonly #random: SeededRandomSource;
  #isPushDue = false;

  /**
   * Creates the member; it does nothing before {@link start}.
   *
   * @param options - its VM, the fleet and the seed
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

  /** Starts the rounds at a random phase. */
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
   * Handles a message from another member.
   *
   * @param message - the message
   * @returns the answer
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
    if (this.#isPushDue) {
      return;
    }
    this.#isPushDue = true;
    this.#fleet.time.schedule(PUSH_DELAY_MS, () => {
      this.#isPushDue = false;
      const waiting = new Set(this.#exchange.listPendingPartners());
      for (const vm of this.membership.listMembers()) {
        if (waiting.has(formatIncarnation(vm.incarnation))) {
          this.#sendTo(vm, this.protocol.buildMessage(vm));
        }
      }
    });
  }

  #sendTo(target: Vm, message: HeartbeatMessage): void {
    let isAnswered = false;
    const receiver = this.#fleet.findMember(target);
    this.#fleet.links.send({
      from: this.vm,
      to: target,
      bytes: HeartbeatRequest.encode(encodeHeartbeat(message)).finish().length,
      deliver: () => {
        if (receiver?.isRunning !== true) {
          return;
        }
        const answer = receiver.handleMessage(message);
        this.#fleet.links.send({
          from: target,
          to: this.vm,
          bytes: measureReply(answer),
          deliver: () => {
            isAnswered = true;
            this.#handleAnswer(target, answer);
          },
        });
      },
    });
    this.#fleet.time.schedule(HEARTBEAT_TIMEOUT_MS, () => {
      if (!isAnswered && this.isRunning) {
        this.#probeThroughOthers(this.protocol.handleMiss(target));
      }
    });
  }

  #handleAnswer(target: Vm, answer: HeartbeatMessage): void {
    if (!this.isRunning) {
      return;
    }
    const next = this.protocol.handleReply(answer);
    if (next !== undefined) {
      this.#sendTo(target, next);
    }
  }

  #probeThroughOthers(probe: IndirectProbe | undefined): void {
    if (probe === undefined) {
      return;
    }
    const answers: boolean[] = [];
    for (const helper of probe.helpers) {
      this.#sendToHelper(helper, probe.target, (isReached) => {
        answers.push(isReached);
      });
    }
    this.#fleet.time.schedule(2 * HEARTBEAT_TIMEOUT_MS, () => {
      this.protocol.handleProbeResult({ target: probe.target, answers });
    });
  }

  #sendToHelper(
    helper: Vm,
    target: Vm,
    report: (isReached: boolean) => void,
  ): void {
    const { links, time } = this.#fleet;
    const reply = (isReached: boolean): void => {
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
          reply(isReached);
        });
      },
    });
  }
}

function measureReply(answer: HeartbeatMessage): number {
  return HeartbeatReply.encode(encodeHeartbeatReply(answer)).finish().length;
}
