/** Holds suspect requests until the holder lets them run, one at a time. */

import { computeRetryAfterMs } from "../fairness/retry_after.ts";
import type { PermitReply, RouterOutbox } from "../routing/router_outbox.ts";
import { deliverVerdict, type Ticket } from "../routing/ticket.ts";
import type { Clock } from "../time/clock.ts";
import type { RandomSource } from "../time/random_source.ts";

const QUARANTINE_RETRY_AFTER_MS = 60_000;
const SUSPECT_RETRY_AFTER_MS = 500;
const POLL_INTERVAL_MS = 20;
const MAX_WAIT_MS = 400;

/** Settings of {@link SuspectGate}. */
export interface SuspectGateOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly outbox: RouterOutbox;
  /** Called when a suspect may run; the holder's leave has to be given back. */
  readonly handleGranted: (ticket: Ticket) => void;
  /** Called when the suspicion is gone. */
  readonly handleCleared: (ticket: Ticket) => void;
}

/**
 * Asks for permits and asks again while another VM runs the same request.
 */
export class SuspectGate {
  readonly #options: SuspectGateOptions;
  /** When to ask again, per waiting request. */
  readonly #askAtMs = new Map<Ticket, number>();

  /**
   * Starts empty.
   *
   * @param options - the way to the holder and what follows its answers
   */
  constructor(options: SuspectGateOptions) {
    this.#options = options;
  }

  /**
   * Adds a suspect request and asks for its permit.
   *
   * @param ticket - the request
   */
  add(ticket: Ticket): void {
    this.#fetchPermit(ticket);
  }

  /** Asks again for requests whose time has come. */
  poll(): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    for (const [ticket, askAtMs] of this.#askAtMs) {
      if (nowMs >= askAtMs) {
        this.#fetchPermit(ticket);
      }
    }
  }

  /**
   * Refuses a quarantined request.
   *
   * @param ticket - the request
   */
  refuseQuarantined(ticket: Ticket): void {
    deliverVerdict(ticket, {
      kind: "quarantined",
      retryAfterMs: computeRetryAfterMs(
        QUARANTINE_RETRY_AFTER_MS,
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
    return this.#askAtMs.size;
  }

  #fetchPermit(ticket: Ticket): void {
    this.#askAtMs.set(ticket, Number.POSITIVE_INFINITY);
    const { fingerprint } = ticket.request;
    this.#options.outbox.fetchPermit(fingerprint, (reply) => {
      this.#askAtMs.delete(ticket);
      this.#applyReply(ticket, reply);
    });
  }

  #applyReply(ticket: Ticket, reply: PermitReply): void {
    if (ticket.isSettled) {
      if (reply === "granted") {
        const { fingerprint } = ticket.request;
        this.#options.outbox.releasePermit(fingerprint, false);
      }
      return;
    }
    switch (reply) {
      case "granted":
        this.#options.handleGranted(ticket);
        return;
      case "cleared":
        this.#options.handleCleared(ticket);
        return;
      case "quarantined":
        this.refuseQuarantined(ticket);
        return;
      case "busy":
        this.#waitOrRefuse(ticket);
        return;
      case "no-holder":
        this.#refuse(ticket);
        return;
    }
  }

  #waitOrRefuse(ticket: Ticket): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    if (nowMs - ticket.queuedAtMs > MAX_WAIT_MS) {
      this.#refuse(ticket);
    } else {
      this.#askAtMs.set(ticket, nowMs + POLL_INTERVAL_MS);
    }
  }

  #refuse(ticket: Ticket): void {
    deliverVerdict(ticket, {
      kind: "overloaded",
      retryAfterMs: computeRetryAfterMs(
        SUSPECT_RETRY_AFTER_MS,
        this.#options.random,
      ),
    });
  }
}
