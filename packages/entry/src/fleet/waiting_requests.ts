/** Watches the requests that wait for a slot at a backend server. */

import type { Waiter } from "@limpetford/core/placement/wait_queue";

import type { PlacementRequest } from "../ports/server_router.ts";
import type { ContainedExceptions } from "../telemetry/contained_exceptions.ts";
import type {
  Balancer,
  PendingPlacement,
  ServiceBalancers,
} from "./service_balancers.ts";

/** Time between checks of the queued requests. */
const QUEUE_CHECK_INTERVAL_MS = 20;
/** Verdict on a request that this VM stops before; callers ask another at once. */
export const STOPPING_VERDICT = {
  kind: "vm-stopping",
  retryAfterMs: 0,
} as const;

/** Dependencies of {@link WaitingRequests}. */
export interface WaitingRequestsOptions {
  readonly balancers: Pick<ServiceBalancers, "list">;
  /** Receives what a decision throws; those on other services follow. */
  readonly exceptions: ContainedExceptions;
  /** Returns false if this VM stops before the request may have ended. */
  readonly mayEndInTime: (
    service: Balancer,
    request: PlacementRequest,
  ) => boolean;
  /** Decides on the requests that wait for a service. */
  readonly decide: (service: Balancer) => void;
}

/**
 * Checks the queued requests at intervals, and takes those out of the queue whose
 * callers have left or that could no longer end before this VM stops.
 */
export class WaitingRequests {
  readonly #options: WaitingRequestsOptions;
  /** Queue entries of the requests that have been queued. */
  readonly #waiters = new WeakMap<
    PendingPlacement,
    Waiter<PendingPlacement>
  >();
  #isTickScheduled = false;

  /**
   * Creates a watch over empty queues.
   *
   * @param options - the queues, and how to decide on them
   */
  constructor(options: WaitingRequestsOptions) {
    this.#options = options;
  }

  /**
   * Watches a request that was queued. It may be queued many times, but its caller
   * is observed once.
   *
   * @param service - load balancer in whose queue it is
   * @param waiter - its entry in the queue
   */
  observe(service: Balancer, waiter: Waiter<PendingPlacement>): void {
    const { item } = waiter;
    const { signal } = item.request;
    const isObserved = this.#waiters.has(item);
    this.#waiters.set(item, waiter);
    if (signal.aborted) {
      this.#withdraw(service, item);
    } else if (!isObserved) {
      signal.addEventListener("abort", () => {
        this.#withdraw(service, item);
      }, { once: true });
    }
    this.#scheduleTick();
  }

  /**
   * Refuses the requests that could no longer end before this VM stops. They need
   * not wait for a slot to hear so.
   *
   * @param service - load balancer whose queue is checked
   */
  refuseLate(service: Balancer): void {
    const late = service.waiting.takeMatching(({ item }) =>
      !this.#options.mayEndInTime(service, item.request)
    );
    for (const { item } of late) {
      item.resolve(STOPPING_VERDICT);
    }
  }

  // A queued request must not take a slot after its caller has disconnected.
  #withdraw(service: Balancer, pending: PendingPlacement): void {
    const waiter = this.#waiters.get(pending);
    if (waiter !== undefined && service.waiting.remove(waiter)) {
      pending.resolve({ kind: "overloaded", retryAfterMs: 0 });
    }
  }

  #scheduleTick(): void {
    if (this.#isTickScheduled) {
      return;
    }
    this.#isTickScheduled = true;
    setTimeout(() => {
      this.#isTickScheduled = false;
      this.#checkQueues();
    }, QUEUE_CHECK_INTERVAL_MS);
  }

  #checkQueues(): void {
    const { balancers, exceptions, decide } = this.#options;
    const services = balancers.list();
    services.forEach((service) => {
      exceptions.run("timer", () => {
        decide(service);
      });
    });
    if (services.some((service) => service.waitingCount > 0)) {
      this.#scheduleTick();
    }
  }
}
