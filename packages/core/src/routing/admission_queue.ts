/**
 * Admission control for the slots of one service. A request is dispatched at
 * once, waits in a queue that is fair among teams, or is refused early.
 */

import { FairQueue, type QueuedItem } from "../fairness/fair_queue.ts";
import { computeRetryAfterMs } from "../fairness/retry_after.ts";
import { SlotTimeEstimator } from "../fairness/slot_time_estimator.ts";
import type { Clock } from "../time/clock.ts";
import type { RandomSource } from "../time/random_source.ts";
import type { RoutingRequest } from "./routing_request.ts";
import type { ServerChoice, ServerPool } from "./server_pool.ts";
import { deliverVerdict, type Ticket } from "./ticket.ts";

/** Longest time in the queue. */
const MAX_WAIT_MS = 1_000;
const NO_SERVER_RETRY_AFTER_MS = 500;
/** Largest share of the time to the deadline that a request may wait. */
const MAX_WAIT_SHARE = 0.5;

/** Settings of {@link AdmissionQueue}. */
export interface AdmissionQueueOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly pool: ServerPool;
  /** Takes a slot at the chosen server and delivers it to the request. */
  readonly dispatch: (ticket: Ticket, choice: ServerChoice) => void;
}

/**
 * Dispatches requests to servers with a free slot, queues the others, and
 * refuses at once those whose estimated wait is too long.
 */
export class AdmissionQueue {
  readonly #options: AdmissionQueueOptions;
  readonly #queue = new FairQueue<Ticket>();
  readonly #slotTimes = new SlotTimeEstimator();

  /**
   * Starts with an empty queue.
   *
   * @param options - clock, servers and the dispatch function
   */
  constructor(options: AdmissionQueueOptions) {
    this.#options = options;
  }

  /**
   * Dispatches, queues or refuses a request.
   *
   * @param ticket - request without a verdict
   */
  admit(ticket: Ticket): void {
    if (this.#queue.countAll() > 0 || !this.dispatch(ticket)) {
      this.#addToQueue(ticket);
    }
  }

  /**
   * Dispatches a request ahead of the queue, if a server has a free slot.
   *
   * @param ticket - request without a verdict
   * @returns true if it was dispatched
   */
  dispatch(ticket: Ticket): boolean {
    const { clock, pool } = this.#options;
    const choice = pool.choose(ticket.request, clock.readMonotonicMs());
    if (choice !== undefined) {
      this.#options.dispatch(ticket, choice);
    }
    return choice !== undefined;
  }

  /** Dispatches queued requests in fair order while servers have free slots. */
  dispatchWaiting(): void {
    for (;;) {
      const choices = new Map<Ticket, ServerChoice>();
      const item = this.#queue.take((candidate) =>
        this.#findChoice(candidate, choices)
      );
      const choice = item === undefined ? undefined : choices.get(item.value);
      if (item === undefined || choice === undefined) {
        return;
      }
      this.#options.dispatch(item.value, choice);
    }
  }

  /** Refuses requests whose waiting time is over, and drops cancelled ones. */
  expire(): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    const expired = this.#queue.expire((item) =>
      item.value.isSettled || nowMs > item.waitUntilMs
    );
    for (const item of expired) {
      this.refuse(item.value, item.costMs);
    }
  }

  /**
   * Charges a finished request's slot time to its team. The estimate was charged
   * when the request left the queue, so only the difference is applied.
   *
   * @param request - the finished request
   * @param slotMs - time for which it used its slot, in milliseconds
   */
  applySlotTime(request: RoutingRequest, slotMs: number): void {
    const { team, route } = request;
    const expectedMs = this.#slotTimes.estimateMs(team, route);
    this.#queue.applyCharge(team ?? "", slotMs - expectedMs);
    this.#slotTimes.record({ team, route }, slotMs);
  }

  /**
   * Refuses a request as overloaded.
   *
   * @param ticket - request to refuse
   * @param delayMs - estimated time until a slot is free, in milliseconds
   */
  refuse(ticket: Ticket, delayMs: number): void {
    deliverVerdict(ticket, {
      kind: "overloaded",
      retryAfterMs: computeRetryAfterMs(delayMs, this.#options.random),
    });
  }

  /**
   * Refuses a request because the service has no servers.
   *
   * @param ticket - request to refuse
   */
  refuseWithoutServer(ticket: Ticket): void {
    deliverVerdict(ticket, {
      kind: "no-server",
      retryAfterMs: computeRetryAfterMs(
        NO_SERVER_RETRY_AFTER_MS,
        this.#options.random,
      ),
    });
  }

  /**
   * Counts queued requests.
   *
   * @returns requests of all teams, cancelled ones included
   */
  countWaiting(): number {
    return this.#queue.countAll();
  }

  #addToQueue(ticket: Ticket): void {
    const { request } = ticket;
    const nowMs = this.#options.clock.readMonotonicMs();
    const team = request.team ?? "";
    const waitMs = this.#queue.estimateWaitMs(
      team,
      request.weight,
      this.#options.pool.countSlots(),
    );
    const allowedMs = Math.min(
      MAX_WAIT_MS,
      MAX_WAIT_SHARE * (request.deadlineAtMs - nowMs),
    );
    if (waitMs > allowedMs || request.isHedge) {
      this.refuse(ticket, waitMs);
      return;
    }
    this.#queue.add({
      team,
      weight: request.weight,
      costMs: this.#slotTimes.estimateMs(request.team, request.route),
      waitUntilMs: nowMs + allowedMs,
      value: ticket,
    });
    this.dispatchWaiting();
  }

  #findChoice(
    item: QueuedItem<Ticket>,
    choices: Map<Ticket, ServerChoice>,
  ): boolean {
    if (item.value.isSettled) {
      return false;
    }
    if (choices.has(item.value)) {
      return true;
    }
    const { clock, pool } = this.#options;
    const choice = pool.choose(item.value.request, clock.readMonotonicMs());
    if (choice !== undefined) {
      choices.set(item.value, choice);
    }
    return choice !== undefined;
  }
}
