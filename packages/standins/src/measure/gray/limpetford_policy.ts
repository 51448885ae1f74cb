/** Runs limpetford's routing at all VMs of a fleet under virtual time. */

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

import { FleetPolicy, type PolicyEnvironment } from "./fleet_policy.ts";

/** Interval at which routers and the coordinator advance. */
const TICK_MS = 20;
const EPOCH = 1;
/** Time after which a permit request to an unreachable coordinator fails. */
const PERMIT_TIMEOUT_MS = 300;
const NO_SERVERS = new Set<ServerId>();

/** Routing components of one VM. */
interface VmNode {
  readonly user: SlotUser;
  readonly router: ServiceRouter;
  readonly quarantine: QuarantineRegistry;
  readonly probes: ProbeSchedule;
}

/**
 * Runs a router at every VM and the service's coordinator at the first one.
 */
export class LimpetfordPolicy extends FleetPolicy {
  override readonly name = "limpetford";
  readonly #environment: PolicyEnvironment;
  readonly #nodes: readonly VmNode[];
  readonly #coordinator: ServiceCoordinator;
  #controlBytes = 0;

  /**
   * Builds the routers and the coordinator.
   *
   * @param environment - servers, VMs and virtual time
   */
  constructor(environment: PolicyEnvironment) {
    super();
    this.#environment = environment;
    this.#coordinator = new ServiceCoordinator({
      service: environment.service,
      epoch: EPOCH,
    });
    this.#coordinator.ejections.setVms(environment.vms);
    this.#nodes = environment.vms.map((user) => this.#createNode(user));
    this.setServers(environment.servers);
  }

  override start(): void {
    const { time, random } = this.#environment;
    for (const node of this.#nodes) {
      time.schedule(random.sampleUniform() * TICK_MS, () => {
        time.scheduleEvery(TICK_MS, () => {
          this.#advanceNode(node);
        });
      });
    }
    time.scheduleEvery(TICK_MS, () => {
      this.#advanceCoordinator();
    });
  }

  override acquire(
    vm: number,
    request: RoutingRequest,
    deliver: (verdict: RoutingVerdict) => void,
  ): void {
    this.#readNode(vm).router.acquire(request, deliver);
  }

  override planRetry(vm: number, state: RetryState): RetryDecision {
    return this.#readNode(vm).router.planRetry(state);
  }

  override planHedgeMs(
    vm: number,
    request: RoutingRequest,
  ): number | undefined {
    return this.#readNode(vm).router.planHedgeMs(request);
  }

  override listExcluded(vm: number): ReadonlySet<ServerId> {
    return this.#nodes[vm]?.router.listLeftOut() ?? NO_SERVERS;
  }

  override setServers(servers: readonly BackendServer[]): void {
    const { service, vms } = this.#environment;
    for (const node of this.#nodes) {
      node.router.setServers(service, servers, vms);
    }
    this.#coordinator.ejections.setServers(service, servers);
  }

  override readDecision(): EjectionDecision {
    return this.#coordinator.ejections.readDecision(
      this.#environment.time.readMonotonicMs(),
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

  #createNode(user: SlotUser): VmNode {
    const quarantine = new QuarantineRegistry();
    const router = new ServiceRouter({
      self: user,
      clock: this.#environment.time,
      random: this.#environment.random,
      outbox: new VirtualOutbox({
        sendCrash: (report) => {
          this.#sendToCoordinator(user, () => {
            this.#receiveCrash(report);
          });
        },
        fetchPermit: (fingerprint, deliver) => {
          this.#fetchPermit(user, fingerprint, deliver);
        },
        releasePermit: (fingerprint, hasServed) => {
          this.#sendToCoordinator(user, () => {
            this.#receiveRelease(fingerprint, hasServed);
          });
        },
      }),
      quarantine,
    });
    return { user, router, quarantine, probes: new ProbeSchedule(user.vm) };
  }

  #readNode(vm: number): VmNode {
    const node = this.#nodes[vm];
    if (node === undefined) {
      throw new RangeError(`no VM with index ${vm}`);
    }
    return node;
  }

  #computeDelayMs(user: SlotUser): number {
    const coordinatorVm = this.#environment.vms[0];
    return coordinatorVm === undefined
      ? 0
      : this.#environment.computeDelayMs(user, coordinatorVm);
  }

  #sendToCoordinator(user: SlotUser, run: () => void): void {
    if (!this.#environment.isHolderCut()) {
      this.#environment.time.schedule(this.#computeDelayMs(user), run);
    }
  }

  #sendToNode(node: VmNode, run: () => void): void {
    if (!this.#environment.isHolderCut()) {
      this.#environment.time.schedule(this.#computeDelayMs(node.user), run);
    }
  }

  #advanceNode(node: VmNode): void {
    const nowMs = this.#environment.time.readMonotonicMs();
    node.router.advance();
    const due = node.probes.takeDue(node.router.readDecision(), nowMs);
    for (const server of due) {
      this.#environment.probe(server, (isHealthy) => {
        this.#sendToCoordinator(node.user, () => {
          const atMs = this.#environment.time.readMonotonicMs();
          this.#coordinator.ejections.receiveProbe(server, isHealthy, atMs);
        });
      });
    }
    const entries = node.router.takeEvidence();
    if (entries.length === 0) {
      return;
    }
    const report = {
      service: this.#environment.service.id,
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
    this.#sendToCoordinator(node.user, () => {
      const atMs = this.#environment.time.readMonotonicMs();
      this.#coordinator.recordUser(node.user.vm, atMs);
      this.#coordinator.ejections.receiveReport(report, atMs);
      this.#advanceCoordinator();
      this.#sendDecision(node);
    });
  }

  #advanceCoordinator(): void {
    const nowMs = this.#environment.time.readMonotonicMs();
    this.#coordinator.arbiter.expire(nowMs);
    if (this.#coordinator.ejections.advance(nowMs)) {
      for (const node of this.#nodes) {
        this.#sendDecision(node);
      }
    }
  }

  #sendDecision(node: VmNode): void {
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

  #receiveCrash(report: CrashReport): void {
    const nowMs = this.#environment.time.readMonotonicMs();
    const verdict = this.#coordinator.arbiter.recordCrash(report, nowMs);
    for (const node of this.#nodes) {
      this.#sendToNode(node, () => {
        node.quarantine.addSuspect(report.fingerprint);
        if (verdict === "quarantined") {
          const fact = node.quarantine.buildFact(report.fingerprint, false);
          node.quarantine.apply({ ...fact, generation: 1 });
        }
      });
    }
  }

  #receiveRelease(fingerprint: string, hasServed: boolean): void {
    this.#coordinator.arbiter.releasePermit(fingerprint, hasServed);
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
    const { time } = this.#environment;
    if (this.#environment.isHolderCut()) {
      time.schedule(PERMIT_TIMEOUT_MS, () => {
        deliver("no-holder");
      });
      return;
    }
    this.#sendToCoordinator(user, () => {
      const reply = this.#coordinator.arbiter.acquirePermit(
        fingerprint,
        time.readMonotonicMs(),
      );
      time.schedule(this.#computeDelayMs(user), () => {
        deliver(reply);
      });
    });
  }
}

/** Handlers of a router's messages to the coordinator. */
interface OutboxHandlers {
  readonly sendCrash: (report: CrashReport) => void;
  readonly fetchPermit: (
    fingerprint: string,
    deliver: (reply: PermitReply) => void,
  ) => void;
  readonly releasePermit: (fingerprint: string, hasServed: boolean) => void;
}

class VirtualOutbox extends RouterOutbox {
  readonly #handlers: OutboxHandlers;

  constructor(handlers: OutboxHandlers) {
    super();
    this.#handlers = handlers;
  }

  override sendCrash(report: CrashReport): void {
    this.#handlers.sendCrash(report);
  }

  override fetchPermit(
    fingerprint: string,
    deliver: (reply: PermitReply) => void,
  ): void {
    this.#handlers.fetchPermit(fingerprint, deliver);
  }

  override releasePermit(fingerprint: string, hasServed: boolean): void {
    this.#handlers.releasePermit(fingerprint, hasServed);
  }
}
