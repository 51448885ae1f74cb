/** Routing of one service's requests at one VM. */

import type { ServerId } from "@limpetford/domain/ids";
import type { BackendServer, Service } from "@limpetford/domain/service";

import {
  type EjectionDecision,
  SERVER_MODE,
} from "../ejection/ejection_decision.ts";
import { LocalAvoidance } from "../ejection/local_avoidance.ts";
import type { AttemptSample } from "../evidence/attempt_sample.ts";
import type { RouteEvidence } from "../evidence/evidence_report.ts";
import { RouteReferences } from "../evidence/route_references.ts";
import type { QuarantineRegistry } from "../quarantine/quarantine_registry.ts";
import { SuspectGate } from "../quarantine/suspect_gate.ts";
import { RetryBudget } from "../retries/retry_budget.ts";
import {
  type RetryDecision,
  RetryPlanner,
  type RetryState,
} from "../retries/retry_planner.ts";
import type { Clock } from "../time/clock.ts";
import type { RandomSource } from "../time/random_source.ts";
import { AdmissionQueue } from "./admission_queue.ts";
import { AttemptObserver, type ObservedAttempt } from "./attempt_observer.ts";
import type { SlotUser } from "./home_slots.ts";
import type { RouterOutbox } from "./router_outbox.ts";
import { buildRouterStatus, type RouterStatus } from "./router_status.ts";
import type {
  RoutingRequest,
  RoutingVerdict,
  SlotLease,
} from "./routing_request.ts";
import { type ServerChoice, ServerPool } from "./server_pool.ts";
import { deliverVerdict, type Ticket } from "./ticket.ts";

const SUSPECT_RETRY_AFTER_MS = 500;

/** Settings of {@link ServiceRouter}. */
export interface ServiceRouterOptions {
  readonly self: SlotUser;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly outbox: RouterOutbox;
  /** Suspect and quarantined requests, shared by the VM's routers. */
  readonly quarantine: QuarantineRegistry;
}

/** A request that has not got its verdict yet. */
export interface Waiting {
  /** Takes the request back, as when the caller goes away. */
  cancel(): void;
}

/**
 * Chooses servers, queues for their slots, gathers evidence and obeys the
 * holder's decisions.
 */
export class ServiceRouter {
  readonly #clock: Clock;
  readonly #outbox: RouterOutbox;
  readonly #self: SlotUser;
  readonly #avoidance = new LocalAvoidance();
  readonly #references = new RouteReferences();
  readonly #quarantine: QuarantineRegistry;
  readonly #budget = new RetryBudget();
  readonly #planner: RetryPlanner;
  readonly #pool: ServerPool;
  readonly #observer: AttemptObserver;
  readonly #queue: AdmissionQueue;
  readonly #gate: SuspectGate;

  /**
   * Starts without servers.
   *
   * @param options - this VM, clock, random numbers and the way to the holder
   */
  constructor(options: ServiceRouterOptions) {
    this.#clock = options.clock;
    this.#outbox = options.outbox;
    this.#quarantine = options.quarantine;
    this.#self = options.self;
    this.#planner = new RetryPlanner(this.#budget, options.random);
    this.#pool = new ServerPool({
      self: options.self,
      random: options.random,
      avoidance: this.#avoidance,
    });
    this.#observer = new AttemptObserver({
      clock: options.clock,
      pool: this.#pool,
      avoidance: this.#avoidance,
      references: this.#references,
    });
    this.#queue = new AdmissionQueue({
      clock: options.clock,
      random: options.random,
      pool: this.#pool,
      dispatch: (ticket, choice) => {
        this.#dispatch(ticket, choice);
      },
    });
    this.#gate = new SuspectGate({
      clock: options.clock,
      random: options.random,
      outbox: options.outbox,
      handleGranted: (ticket) => {
        this.#dispatchPermitted(ticket);
      },
      handleCleared: (ticket) => {
        this.#quarantine.removeSuspect(ticket.request.fingerprint);
        this.#queue.admit(ticket);
      },
    });
  }

  /**
   * Sets the servers and the fleet.
   *
   * @param service - the service's record
   * @param servers - its servers without those that are leaving
   * @param users - all VMs of the fleet
   */

  setServers(
    service: Service,
    servers: readonly BackendServer[],
    users: readonly SlotUser[],
  ): void {
    this.#pool.setServers(service, servers, this.#clock.readMonotonicMs());
    this.#pool.updateHomeSlots(users);
  }

  /**
   * Applies a decision of the holder.
   *
   * @param decision - the decision
   */
  applyDecision(decision: EjectionDecision): void {
    this.#pool.applyDecision(decision, this.#clock.readMonotonicMs());
    this.#references.apply(decision.references);
    if (decision.servers.some(({ mode }) => mode === SERVER_MODE.checking)) {
      this.#observer.reportSoon();
    }
    this.#queue.dispatchWaiting();
  }

  /** Records that the holder has answered a report. */
  recordContact(): void {
    this.#pool.recordContact(this.#clock.readMonotonicMs());
  }

  /**
   * Acquires a slot for an attempt, at once or after a wait.
   *
   * @param request - the attempt
   * @param deliver - called once with the verdict, unless cancelled
   * @returns a handle for taking the request back
   */
  acquire(
    request: RoutingRequest,
    deliver: (verdict: RoutingVerdict) => void,
  ): Waiting {
    const ticket: Ticket = {
      request,
      deliver,
      queuedAtMs: this.#clock.readMonotonicMs(),
      isSettled: false,
      isPermitted: false,
    };
    if (request.attempt === 1 && !request.isHedge) {
      this.#budget.recordFirstAttempt(request.team);
    }
    if (request.isHedge && !this.#budget.take(request.team)) {
      this.#queue.refuse(ticket, 0);
    } else {
      this.#admit(ticket);
    }
    return {
      cancel: () => {
        ticket.isSettled = true;
      },
    };
  }

  /**
   * Decides on a retry within the budget.
   *
   * @param question - the finished attempt
   * @returns the decision
   */
  planRetry(question: RetryState): RetryDecision {
    return this.#planner.planRetry(question);
  }

  /**
   * Plans a second attempt beside a late first one. A request under suspicion
   * gets none.
   *
   * @param request - the running attempt
   * @returns milliseconds after dispatch, or undefined for no hedge
   */
  planHedgeMs(request: RoutingRequest): number | undefined {
    if (
      !this.#quarantine.isEmpty() &&
      this.#quarantine.isSuspect(request.fingerprint)
    ) {
      return undefined;
    }
    return this.#planner.planHedgeMs(
      this.#references.findReference(request.route),
      {
        team: request.team,
        isIdempotent: request.isIdempotent,
        isCertainlyNotRun: false,
        attempts: request.attempt,
        timeLeftMs: request.deadlineAtMs - this.#clock.readMonotonicMs(),
        isCancelled: false,
      },
    );
  }

  /** Advances time: ages of running requests, waits and permits. */
  advance(): void {
    this.#observer.observeAges();
    this.#queue.expire();
    this.#gate.poll();
    this.#queue.dispatchWaiting();
  }

  /**
   * Takes the evidence that is due for the holder.
   *
   * @returns the deltas, empty if nothing is due
   */
  takeEvidence(): readonly RouteEvidence[] {
    return this.#observer.takeEvidence();
  }

  /**
   * Lists the servers that this VM leaves out now.
   *
   * @returns the servers
   */
  listLeftOut(): ReadonlySet<ServerId> {
    return this.#pool.listLeftOut();
  }

  /**
   * Reads the holder's decision in force.
   *
   * @returns the decision, or undefined before the first
   */
  readDecision(): EjectionDecision | undefined {
    return this.#pool.readDecision();
  }

  /**
   * Reads the state for operators.
   *
   * @returns servers, queue and quarantines
   */
  readStatus(): RouterStatus {
    return buildRouterStatus({
      vm: this.#self.vm,
      pool: this.#pool,
      avoided: this.#avoidance.listAvoided(),
      waiting: this.#queue.countWaiting() + this.#gate.countWaiting(),
      quarantined: this.#quarantine.listQuarantined(),
    });
  }

  #admit(ticket: Ticket): void {
    if (!this.#pool.hasServers()) {
      this.#queue.refuseWithoutServer(ticket);
    } else if (this.#quarantine.isEmpty()) {
      this.#queue.admit(ticket);
    } else if (this.#quarantine.isQuarantined(ticket.request.fingerprint)) {
      this.#gate.refuseQuarantined(ticket);
    } else if (this.#quarantine.isSuspect(ticket.request.fingerprint)) {
      this.#gate.add(ticket);
    } else {
      this.#queue.admit(ticket);
    }
  }

  #dispatchPermitted(ticket: Ticket): void {
    ticket.isPermitted = true;
    if (!this.#queue.dispatch(ticket)) {
      this.#outbox.releasePermit(ticket.request.fingerprint, false);
      this.#queue.refuse(ticket, SUSPECT_RETRY_AFTER_MS);
    }
  }

  #dispatch(ticket: Ticket, choice: ServerChoice): void {
    const { server } = choice.load;
    const observed: ObservedAttempt = {
      choice,
      attempt: {
        server: server.id,
        route: ticket.request.route,
        startedAtMs: this.#clock.readMonotonicMs(),
      },
      isPermitted: ticket.isPermitted,
    };
    this.#observer.begin(observed);
    const lease: SlotLease = {
      server,
      connectionLimit: this.#pool.computeConnectionLimit(server),
      complete: (sample) => {
        this.#complete(ticket, observed, sample);
      },
    };
    deliverVerdict(ticket, { kind: "placed", lease });
  }

  #complete(
    ticket: Ticket,
    observed: ObservedAttempt,
    sample: AttemptSample,
  ): void {
    const { attempt } = observed;
    const isCrash = this.#observer.complete(observed, sample);
    this.#updateSuspicion(ticket, {
      server: attempt.server,
      isCrash,
      hasServed: sample.outcome === "served",
    });
    const slotMs = this.#clock.readMonotonicMs() - attempt.startedAtMs;
    this.#queue.applySlotTime(ticket.request, slotMs);
    this.#queue.dispatchWaiting();
  }

  #updateSuspicion(
    ticket: Ticket,
    end: {
      readonly server: ServerId;
      readonly isCrash: boolean;
      readonly hasServed: boolean;
    },
  ): void {
    if (!end.isCrash && !ticket.isPermitted) {
      return;
    }
    const { fingerprint } = ticket.request;
    if (end.isCrash) {
      this.#quarantine.addSuspect(fingerprint);
      const { server } = end;
      this.#outbox.sendCrash({ fingerprint, server, vm: this.#self.vm });
    } else {
      this.#outbox.releasePermit(fingerprint, end.hasServed);
      if (end.hasServed) {
        this.#quarantine.removeSuspect(fingerprint);
      }
    }
  }
}
