/** The project's own routing at all VMs of a fleet, under virtual time. */

import type { EjectionDecision } from "@limpetford/core/ejection/ejection_decision";
import { ProbeSchedule } from "@limpetford/core/ejection/probe_schedule";
import { ServiceCoordinator } from "@limpetford/core/ejection/service_coordinator";
import { QuarantineRegistry } from "@limpetford/core/quarantine/quarantine_registry";
import type { CrashReport } from "@limpetford/core/quarantine/suspect_arbiter";
import type {
  RetryDecision,
  RetryState,
} from "@limpetford/core/retries/retry_planner";
import type { SlotUser } from "@limpetford/core/routing/home_slots";
import {
  type PermitReply,
  RouterOutbox,
} from "@limpetford/core/routing/router_outbox";
import type {
  RoutingRequest,
  RoutingVerdict,
} from "@limpetford/core/routing/routing_request";
import { ServiceRouter } from "@limpetford/core/routing/service_router";
import type { ServerId } from "@limpetford/domain/ids";
import type { BackendServer } from "@limpetford/domain/service";
import {
  encodeDecision,
  encodeEvidence,
} from "@limpetford/peer/evidence_codec";
import {
  DecisionMessage,
  ReportRequest,
} from "@limpetford/peer/generated/evidence";

import { FleetPolicy, type PolicyWorld } from "./fleet_policy.ts";

const TICK_MS = 20;
const EPOCH = 1;
const PERMIT_TIMEOUT_MS = 300;
const EMPTY = new Set<ServerId>();

interface Node {
  readonly user: SlotUser;
  readonly router: ServiceRouter;
  readonly quarantine: QuarantineRegistry;
  readonly probes: ProbeSchedule;
}

/**
 * Routers at all VMs and the holder at the first one.
 */
export class LimpetfordPolicy extends FleetPolicy {
  override readonly name = "limpetford";
  readonly #world: PolicyWorld;
  readonly #nodes: readonly Node[];
  readonly #holder: ServiceCoordinator;
  #controlBytes = 0;

  /**
   * Builds the routers.
   *
   * @param world - servers, VMs and time
   */
  constructor(world: PolicyWorld) {
    super();
    this.#world = world;
    this.#holder = new ServiceCoordinator({
      service: world.service,
      epoch: EPOCH,
    });
    this.#holder.ejections.setVms(world.vms);
    this.#nodes = world.vms.map((user) => this.#createNode(user));
    this.setServers(world.servers);
  }

  override start(): void {
    const { time, random } = this.#world;
    for (const node of this.#nodes) {
      time.schedule(random.sampleUniform() * TICK_MS, () => {
        time.scheduleEvery(TICK_MS, () => {
          this.#advanceNode(node);
        });
      });
    }
    time.scheduleEvery(TICK_MS, () => {
      this.#advanceHolder();
    });
  }

  override acquire(
    vm: number,
    request: RoutingRequest,
    deliver: (verdict: RoutingVerdict) => void,
  ): void {
    this.#readNode(vm).router.acquire(request, deliver);
  }

  override planRetry(vm: number, question: RetryState): RetryDecision {
    return this.#readNode(vm).router.planRetry(question);
  }

  override planHedgeMs(
    vm: number,
    request: RoutingRequest,
  ): number | undefined {
    return this.#readNode(vm).router.planHedgeMs(request);
  }

  override listLeftOut(vm: number): ReadonlySet<ServerId> {
    return this.#nodes[vm]?.router.listLeftOut() ?? EMPTY;
  }

  override setServers(servers: readonly BackendServer[]): void {
    const { service, vms } = this.#world;
    for (const node of this.#nodes) {
      node.router.setServers(service, servers, vms);
    }
    this.#holder.ejections.setServers(service, servers);
  }

  override readDecision(): EjectionDecision {
    return this.#holder.ejections.readDecision(
      this.#world.time.readMonotonicMs(),
    );
  }

  override sumProbeCostMs(): number {
    return this.#nodes.reduce(
      (sum, node) => sum + node.probes.computeCostMs(),
      0,
    );
  }

  override countControlBytes(): number {
    return this.#controlBytes;
  }

  #createNode(user: SlotUser): Node {
    const quarantine = new QuarantineRegistry();
    const router = new ServiceRouter({
      self: user,
      clock: this.#world.time,
      random: this.#world.random,
      outbox: new VirtualOutbox({
        sendCrash: (notice) => {
          this.#sendToHolder(user, () => {
            this.#receiveCrash(notice);
          });
        },
        fetchPermit: (fingerprint, deliver) => {
          this.#fetchPermit(user, fingerprint, deliver);
        },
        releasePermit: (fingerprint, hasServed) => {
          this.#sendToHolder(user, () => {
            this.#receiveRelease(fingerprint, hasServed);
          });
        },
      }),
      quarantine,
    });
    return { user, router, quarantine, probes: new ProbeSchedule(user.vm) };
  }

  #readNode(vm: number): Node {
    const node = this.#nodes[vm];
    if (node === undefined) {
      throw new RangeError(`no VM ${vm}`);
    }
    return node;
  }

  #computeDelayMs(user: SlotUser): number {
    const holder = this.#world.vms[0];
    return holder === undefined ? 0 : this.#world.computeDelayMs(user, holder);
  }

  #sendToHolder(user: SlotUser, run: () => void): void {
    if (!this.#world.isHolderCut()) {
      this.#world.time.schedule(this.#computeDelayMs(user), run);
    }
  }

  #sendToNode(node: Node, run: () => void): void {
    if (!this.#world.isHolderCut()) {
      this.#world.time.schedule(this.#computeDelayMs(node.user), run);
    }
  }

  #advanceNode(node: Node): void {
    const nowMs = this.#world.time.readMonotonicMs();
    node.router.advance();
    const due = node.probes.takeDue(node.router.readDecision(), nowMs);
    for (const server of due) {
      this.#world.probe(server, (isHealthy) => {
        this.#sendToHolder(node.user, () => {
          const atMs = this.#world.time.readMonotonicMs();
          this.#holder.ejections.receiveProbe(server, isHealthy, atMs);
        });
      });
    }
    const entries = node.router.takeEvidence();
    if (entries.length === 0) {
      return;
    }
    const report = {
      service: this.#world.service.id,
      vm: node.user.vm,
      zone: node.user.zone,
      entries,
    };
    this.#controlBytes += ReportRequest.encode({
      ...report,
      entries: entries.map(encodeEvidence),
      probes: [],
      epoch: EPOCH,
      revision: 1,
    }).finish().length;
    this.#sendToHolder(node.user, () => {
      const atMs = this.#world.time.readMonotonicMs();
      this.#holder.recordUser(node.user.vm, atMs);
      this.#holder.ejections.receiveReport(report, atMs);
      this.#advanceHolder();
      this.#sendDecision(node);
    });
  }

  #advanceHolder(): void {
    const nowMs = this.#world.time.readMonotonicMs();
    this.#holder.arbiter.expire(nowMs);
    if (this.#holder.ejections.advance(nowMs)) {
      for (const node of this.#nodes) {
        this.#sendDecision(node);
      }
    }
  }

  #sendDecision(node: Node): void {
    const decision = this.readDecision();
    const known = node.router.readDecision();
    if (known?.revision === decision.revision) {
      return;
    }
    const message = DecisionMessage.encode(encodeDecision(decision));
    this.#controlBytes += message.finish().length;
    this.#sendToNode(node, () => {
      node.router.applyDecision(decision);
    });
  }

  #receiveCrash(notice: CrashReport): void {
    const nowMs = this.#world.time.readMonotonicMs();
    const verdict = this.#holder.arbiter.recordCrash(notice, nowMs);
    for (const node of this.#nodes) {
      this.#sendToNode(node, () => {
        node.quarantine.addSuspect(notice.fingerprint);
        if (verdict === "quarantined") {
          const fact = node.quarantine.buildFact(notice.fingerprint, false);
          node.quarantine.apply({ ...fact, generation: 1 });
        }
      });
    }
  }

  #receiveRelease(fingerprint: string, hasServed: boolean): void {
    this.#holder.arbiter.releasePermit(fingerprint, hasServed);
    if (hasServed) {
      for (const node of this.#nodes) {
        this.#sendToNode(node, () => {
          node.quarantine.removeSuspect(fingerprint);
        });
      }
    }
  }

  #fetchPermit(
    user: SlotUser,
    fingerprint: string,
    deliver: (reply: PermitReply) => void,
  ): void {
    const { time } = this.#world;
    if (this.#world.isHolderCut()) {
      time.schedule(PERMIT_TIMEOUT_MS, () => {
        deliver("no-holder");
      });
      return;
    }
    this.#sendToHolder(user, () => {
      const reply = this.#holder.arbiter.acquirePermit(
        fingerprint,
        time.readMonotonicMs(),
      );
      time.schedule(this.#computeDelayMs(user), () => {
        deliver(reply);
      });
    });
  }
}

interface OutboxCalls {
  readonly sendCrash: (notice: CrashReport) => void;
  readonly fetchPermit: (
    fingerprint: string,
    deliver: (reply: PermitReply) => void,
  ) => void;
  readonly releasePermit: (fingerprint: string, hasServed: boolean) => void;
}

class VirtualOutbox extends RouterOutbox {
  readonly #calls: OutboxCalls;

  constructor(calls: OutboxCalls) {
    super();
    this.#calls = calls;
  }

  override sendCrash(notice: CrashReport): void {
    this.#calls.sendCrash(notice);
  }

  override fetchPermit(
    fingerprint: string,
    deliver: (reply: PermitReply) => void,
  ): void {
    this.#calls.fetchPermit(fingerprint, deliver);
  }

  override releasePermit(fingerprint: string, hasServed: boolean): void {
    this.#calls.releasePermit(fingerprint, hasServed);
  }
}
