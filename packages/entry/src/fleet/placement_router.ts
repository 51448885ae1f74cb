/** Load balancing of requests across the backend servers of each service. */

import type { TakenSlot } from "@limpetford/core/placement/placement_decision";
import type { Waiter } from "@limpetford/core/placement/wait_queue";
import type { Clock } from "@limpetford/core/time/clock";
import type { ServiceId } from "@limpetford/domain/ids";
import type { TokenGrant } from "@limpetford/peer/fleet_sync";

import {
  type FailedAttempt,
  type Placement,
  type PlacementRequest,
  type PlacementVerdict,
  type RetryVerdict,
  ServerRouter,
} from "../ports/server_router.ts";
import { UNUSED_SAMPLE } from "../serving/lazy_slot_request.ts";
import {
  type ContainedExceptions,
  EXCEPTION_SOURCE,
} from "../telemetry/contained_exceptions.ts";
import { describeBalancer } from "./balancer_description.ts";
import type { CrashGuard } from "./crash_guard.ts";
import { buildDemand, readServiceId } from "./demand_builder.ts";
import type { FleetLog } from "./fleet_log.ts";
import type { FleetState } from "./fleet_state.ts";
import { PlacementLog } from "./placement_log.ts";
import type { RequestForwarder } from "./request_forwarder.ts";
import { ServerNotices } from "./server_notices.ts";
import type { ServerRateLimits } from "./server_rate_limits.ts";
import type { ServerReachMonitor } from "./server_reach_monitor.ts";
import type {
  Balancer,
  PendingPlacement,
  ServiceBalancers,
} from "./service_balancers.ts";
import type { StopSchedule } from "./stop_schedule.ts";
import { STOPPING_VERDICT, WaitingRequests } from "./waiting_requests.ts";
import type { ZoneTraffic } from "./zone_traffic.ts";

/** Retry delay told to callers of a service without available servers. */
const NO_SERVER_RETRY_MS = 500;
const NO_SERVER_VERDICT = {
  kind: "no-server",
  retryAfterMs: NO_SERVER_RETRY_MS,
} as const;
/** How long after a request this VM counts as serving callers. */
const RECENT_REQUEST_MS = 2_000;
/** A hedge is sent after this multiple of the expected service time. */
const HEDGE_FACTOR = 2.5;
const MIN_HEDGE_DELAY_MS = 150;

/** Dependencies and bounds of a {@link PlacementRouter}. */
export interface PlacementRouterOptions {
  readonly balancers: ServiceBalancers;
  readonly state: FleetState;
  readonly clock: Clock;
  readonly log: FleetLog;
  readonly guard: CrashGuard;
  readonly limits: ServerRateLimits;
  readonly traffic: ZoneTraffic;
  readonly reach: ServerReachMonitor;
  readonly forwarder: RequestForwarder;
  readonly stop: StopSchedule;
  readonly exceptions: ContainedExceptions;
  /** Called when there is something to tell the other VMs. */
  readonly notifyChange: () => void;
}

// A slot, with the token for it if its server names a rate limit.
interface GrantedSlot {
  readonly slot: TakenSlot;
  readonly grant?: TokenGrant | undefined;
}

// A request, and the slot that it may get.
interface OfferedSlot {
  readonly pending: PendingPlacement;
  readonly slot: TakenSlot;
}

/** Routes requests with one load balancer for each configured service. */
export class PlacementRouter extends ServerRouter {
  readonly #options: PlacementRouterOptions;
  readonly #log: PlacementLog;
  readonly #notices: ServerNotices;
  readonly #waiting: WaitingRequests;
  #requestedAtMs = -Infinity;
  #failureListener: (() => void) | undefined;

  /**
   * Creates a router.
   *
   * @param options - dependencies and bounds
   */
  constructor(options: PlacementRouterOptions) {
    super();
    this.#options = options;
    this.#log = new PlacementLog(options);
    this.#notices = new ServerNotices(options);
    this.#waiting = new WaitingRequests({
      balancers: options.balancers,
      exceptions: options.exceptions,
      mayEndInTime: (service, request) => this.#mayEndInTime(service, request),
      decide: (service) => {
        this.#decideWaiting(service);
      },
    });
  }

  /**
   * Sets the listener for attempts that were not served.
   *
   * @param listener - called after each such attempt
   */
  setFailureListener(listener: () => void): void {
    this.#failureListener = listener;
  }

  /**
   * Checks whether this VM has received requests recently.
   *
   * @returns true if the last one came within `RECENT_REQUEST_MS`
   */
  hasRecentRequests(): boolean {
    const nowMs = this.#options.clock.readMonotonicMs();
    return nowMs - this.#requestedAtMs < RECENT_REQUEST_MS;
  }

  override async acquire(
    request: PlacementRequest,
  ): Promise<PlacementVerdict> {
    const nowMs = this.#options.clock.readMonotonicMs();
    this.#requestedAtMs = nowMs;
    const service = this.#options.balancers.find(request);
    if (service === undefined) {
      return NO_SERVER_VERDICT;
    }
    if (!this.#mayEndInTime(service, request)) {
      return STOPPING_VERDICT;
    }
    if (request.isHedge && !service.takeRetry()) {
      return { kind: "overloaded", retryAfterMs: 0 };
    }
    const { guard, forwarder, reach } = this.#options;
    if (service.reach.isInDoubt && !service.reach.isUnreachable) {
      // What is sent over dead links may be lost for good.
      await reach.verifyService(readServiceId(request));
    }
    const forwarded = forwarder.forward(request);
    if (forwarded !== undefined) {
      return { kind: "placed", placement: forwarded };
    }
    if (request.attempt === 1 && request.context.terms?.isCounted !== true) {
      service.recordRequest();
    }
    const refusal = guard.shouldAdmit(request) && await guard.admit(request);
    if (refusal) {
      return refusal;
    }
    const verdict = await new Promise<PlacementVerdict>((resolve) => {
      const pending = { request, askedAtMs: nowMs, resolve };
      this.#acquireSlot(service, pending);
    });
    if (verdict.kind !== "placed") {
      guard.withdraw(request);
    }
    return verdict;
  }

  /** Forwards the requests that wait for servers which this VM has lost. */
  forwardWaiting(): void {
    for (const service of this.#options.balancers.list()) {
      if (service.reach.isUnreachable) {
        service.waiting.takeAll().forEach((waiter) => {
          this.#forwardWaiter(service, waiter);
        });
      }
    }
  }

  override planRetry(attempt: FailedAttempt): RetryVerdict {
    const service = this.#options.balancers.find(attempt.request);
    // No server has got a request that was not sent.
    const mayRetry = attempt.sample.outcome === "connect-failed" ||
      attempt.sample.wasSent === false ||
      service?.takeRetry() === true;
    if (!mayRetry) {
      this.#log.recordRetryDenied(attempt);
      return { kind: "give-up" };
    }
    return { kind: "retry", delayMs: 0 };
  }

  override planHedgeMs(request: PlacementRequest): number | undefined {
    const { terms } = request.context;
    const service = this.#options.balancers.find(request);
    if (
      service === undefined || terms === undefined ||
      this.#options.guard.isSuspect(request) ||
      request.attempt >= terms.maxAttempts
    ) {
      return undefined;
    }
    const expectedMs = service.estimateServiceMs(buildDemand(request, false));
    return Math.max(MIN_HEDGE_DELAY_MS, expectedMs * HEDGE_FACTOR);
  }

  override describeService(id: ServiceId): unknown {
    const nowMs = this.#options.clock.readMonotonicMs();
    const service = this.#options.balancers.findService(id);
    return service && describeBalancer(service, nowMs);
  }

  #mayEndInTime(service: Balancer, { context }: PlacementRequest): boolean {
    const { stop, clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    return stop.mayEndInTime(context, service.durations, nowMs);
  }

  #acquireSlot(service: Balancer, pending: PendingPlacement): void {
    const { clock } = this.#options;
    const demand = buildDemand(
      pending.request,
      this.#options.guard.isSuspect(pending.request),
    );
    const decision = service.acquire(demand, pending, clock.readMonotonicMs());
    if (decision.kind === "waiting") {
      this.#log.recordWaiting(pending.request, service.waitingCount);
      this.#waiting.observe(service, decision.waiter);
      return;
    }
    this.#settle(service, pending, decision);
  }

  #settle(
    service: Balancer,
    pending: PendingPlacement,
    decision: Exclude<
      ReturnType<Balancer["acquire"]>,
      { readonly kind: "waiting" }
    >,
  ): void {
    switch (decision.kind) {
      case "placed":
        void this.#settleSlot(service, { pending, slot: decision.slot });
        break;
      case "overloaded":
        pending.resolve(decision);
        break;
      case "no-server":
        pending.resolve(NO_SERVER_VERDICT);
        break;
    }
  }

  // What is thrown ends this one request; the slot is given back.
  async #settleSlot(service: Balancer, offered: OfferedSlot): Promise<void> {
    const { pending, slot } = offered;
    try {
      if (!this.#mayEndInTime(service, pending.request)) {
        this.#returnSlot(service, slot);
        pending.resolve(STOPPING_VERDICT);
      } else if (slot.needsToken) {
        await this.#acquireToken(service, offered);
      } else {
        this.#settlePlaced(service, pending, { slot });
      }
    } catch (error) {
      const { exceptions } = this.#options;
      exceptions.report(EXCEPTION_SOURCE.caller, error);
      exceptions.run(EXCEPTION_SOURCE.caller, () => {
        this.#returnSlot(service, slot);
      });
      pending.resolve(NO_SERVER_VERDICT);
    }
  }

  #returnSlot(service: Balancer, slot: TakenSlot): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    service.complete(slot, UNUSED_SAMPLE, nowMs);
  }

  // The slot is kept while the VM that grants the server's tokens is asked.
  async #acquireToken(
    service: Balancer,
    { pending, slot }: OfferedSlot,
  ): Promise<void> {
    const { limits, clock, exceptions } = this.#options;
    const { announced } = slot.server;
    const verdict = await limits.client.take(announced, service.waitingCount);
    const nowMs = clock.readMonotonicMs();
    if (verdict.kind === "granted") {
      service.grantToken(slot, nowMs);
      this.#settlePlaced(service, pending, { slot, grant: verdict.grant });
      exceptions.run(EXCEPTION_SOURCE.timer, () => {
        this.#decideWaiting(service);
      });
      return;
    }
    this.#log.recordDeferred(pending.request, announced.id, verdict);
    const { demand } = slot;
    const waiter = { demand, arrivedAtMs: pending.askedAtMs, item: pending };
    const decision = service.refuseToken(slot, waiter, {
      nowMs,
      untilMs: nowMs + verdict.retryAfterMs,
    });
    if (decision.kind === "waiting") {
      this.#waiting.observe(service, decision.waiter);
    } else {
      this.#settle(service, pending, decision);
    }
  }

  #settlePlaced(
    service: Balancer,
    pending: PendingPlacement,
    granted: GrantedSlot,
  ): void {
    this.#options.reach.schedule();
    this.#log.recordPlaced({
      request: pending.request,
      askedAtMs: pending.askedAtMs,
      slot: granted.slot,
      grayShare: service.grayShare,
    });
    pending.resolve({
      kind: "placed",
      placement: this.#buildPlacement(service, pending, granted),
    });
  }

  #buildPlacement(
    service: Balancer,
    { request }: PendingPlacement,
    { slot, grant }: GrantedSlot,
  ): Placement {
    const { clock, guard, state } = this.#options;
    const { announced } = slot.server;
    return {
      server: { ...announced, connections: Infinity },
      needsNewConnection: guard.isSuspect(request),
      isServerInUse: () => !state.isServerLeaving(announced.id),
      observeNotice: (notice) => {
        this.#notices.observe(announced, notice, {
          balancer: service,
          slot,
          request: { id: request.context.id, grant },
        });
      },
      verifyServer: () => guard.verifyListening(announced),
      complete: (sample) => {
        service.complete(slot, sample, clock.readMonotonicMs());
        this.#log.recordEnded(request, slot, sample);
        this.#options.traffic.recordAttempt(announced, sample);
        guard.complete({
          server: announced,
          request,
          sample,
          sentAtMs: slot.running.startedAtMs,
        });
        if (sample.outcome !== "served") {
          this.#failureListener?.();
        }
        this.#decideWaiting(service);
      },
    };
  }

  #decideWaiting(service: Balancer): void {
    if (this.#options.stop.isStopping) {
      this.#waiting.refuseLate(service);
    }
    const nowMs = this.#options.clock.readMonotonicMs();
    for (const { waiter, decision } of service.decideWaiting(nowMs)) {
      this.#settle(service, waiter.item, decision);
    }
  }

  #forwardWaiter(service: Balancer, waiter: Waiter<PendingPlacement>): void {
    const { item } = waiter;
    const placement = this.#options.forwarder.forward(item.request);
    if (placement === undefined) {
      service.waiting.add(waiter);
    } else {
      this.#options.guard.withdraw(item.request);
      item.resolve({ kind: "placed", placement });
    }
  }
}
