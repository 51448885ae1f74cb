/** Admits requests to slots, at once or through the fair queue. */

import { FairQueue, type QueuedItem } from "../fairness/fair_queue.ts";
import { computeRetryAfterMs } from "../fairness/retry_after.ts";
import { SlotTimeEstimator } from "../fairness/slot_time_estimator.ts";
import type { Clock } from "../time/clock.ts";
import type { RandomSource } from "../time/random_source.ts";
import type { RoutingRequest } from "./routing_request.ts";
import type { ServerChoice, ServerPool } from "./server_pool.ts";
import { deliverVerdict, type Ticket } from "./ticket.ts";

const MAX_WAIT_MS = 1_000;
const NO_SERVER_RETRY_AFTER_MS = 500;
const WAIT_SHARE_OF_TIME_LEFT = 0.5;

/** Settings of {@link AdmissionQueue}. */
export interface AdmissionQueueOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly pool: ServerPool;
  /** Takes the slot of a choice for a ticket. */
  readonly dispatch: (ticket: Ticket, choice: ServerChoice) => void;
}

/**
 * Places requests where there is room, lets the others wait their turn, and
 * refuses early those that would wait too long.
 */
export class AdmissionQueue {
  readonly #options: AdmissionQueueOptions;
  readonly #queue = new FairQueue<Ticket>();
  readonly #slotTimes = new SlotTimeEstimator();

  /**
   * Starts empty.
   *
   * @param options - servers and the way to dispatch to them
   */
  constructor(options: AdmissionQueueOptions) {
    this.#options = options;
  }

  /**
   * Admits a request: dispatches, queues or refuses it.
   *
   * @param ticket - the request
   */
  admit(ticket: Ticket): void {
    if (this.#queue.countAll() > 0 || !this.dispatch(ticket)) {
      this.#addToQueue(ticket);
    }
  }

  /**
   * Dispatches a request past the queue, if a server has room.
   *
   * @param ticket - the request
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

  /** Dispatches waiting requests in fair turn while servers have room. */
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

  /** Refuses requests that have waited too long. */
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
   * Charges the slot time that a request has used.
   *
   * @param request - the request
   * @param slotMs - the time, in milliseconds
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
   * @param ticket - the request
   * @param delayMs - when there should be room, in milliseconds from now
   */
  refuse(ticket: Ticket, delayMs: number): void {
    deliverVerdict(ticket, {
      kind: "overloaded",
      retryAfterMs: computeRetryAfterMs(delayMs, this.#options.random),
    });
  }

  /**
   * Refuses a request for want of any server.
   *
   * @param ticket - the request
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
   * Counts waiting requests.
   *
   * @returns the number
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
      WAIT_SHARE_OF_TIME_LEFT * (request.deadlineAtMs - nowMs),
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
