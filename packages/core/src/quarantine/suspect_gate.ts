/** Holds suspect requests at one VM until the shard's holder permits them. */

import { computeRetryAfterMs } from "../fairness/retry_after.ts";
import type { PermitReply, RouterOutbox } from "../routing/router_outbox.ts";
import { deliverVerdict, type Ticket } from "../routing/ticket.ts";
import type { Clock } from "../time/clock.ts";
import type { RandomSource } from "../time/random_source.ts";

/** Retry delay sent to callers whose request is quarantined. */
const QUARANTINE_RETRY_AFTER_MS = 60_000;
/** Retry delay sent to callers whose suspect request got no permit. */
const SUSPECT_RETRY_AFTER_MS = 500;
/** Time between two requests for the same permit. */
const POLL_INTERVAL_MS = 20;
/** Longest time that a request waits for its permit. */
const MAX_WAIT_MS = 400;

/** Settings of {@link SuspectGate}. */
export interface SuspectGateOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly outbox: RouterOutbox;
  /** Called when a request may run; its permit must be released afterwards. */
  readonly handleGranted: (ticket: Ticket) => void;
  /** Called when a request is no longer suspect. */
  readonly handleCleared: (ticket: Ticket) => void;
}

/**
 * Requests permits from the holder, and polls while another VM runs the same
 * request.
 */
export class SuspectGate {
  readonly #options: SuspectGateOptions;
  /** Monotonic time of each request's next poll; infinite during a call. */
  readonly #pollAtMs = new Map<Ticket, number>();

  /**
   * Starts without waiting requests.
   *
   * @param options - the connection to the holder and handlers of its replies
   */
  constructor(options: SuspectGateOptions) {
    this.#options = options;
  }

  /**
   * Adds a suspect request and asks the holder for its permit.
   *
   * @param ticket - request whose fingerprint is suspected of crashing servers
   */
  add(ticket: Ticket): void {
    this.#fetchPermit(ticket);
  }

  /** Asks again for the permits whose poll is due. */
  poll(): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    for (const [ticket, pollAtMs] of this.#pollAtMs) {
      if (nowMs >= pollAtMs) {
        this.#fetchPermit(ticket);
      }
    }
  }

  /**
   * Delivers the refusal of a quarantined request.
   *
   * @param ticket - request that receives the refusal as its verdict
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
   * Counts the requests that wait for a permit.
   *
   * @returns the number of requests
   */
  countWaiting(): number {
    return this.#pollAtMs.size;
  }

  #fetchPermit(ticket: Ticket): void {
    this.#pollAtMs.set(ticket, Number.POSITIVE_INFINITY);
    const { fingerprint } = ticket.request;
    this.#options.outbox.fetchPermit(fingerprint, (reply) => {
      this.#pollAtMs.delete(ticket);
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
      this.#pollAtMs.set(ticket, nowMs + POLL_INTERVAL_MS);
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
