/** Tells server crashes from single broken connections, at one VM. */

import type { Clock } from "@limpetford/core/time/clock";
import type { RequestId, ServerId } from "@limpetford/domain/ids";
import type { SocketAddress } from "@limpetford/domain/vm";

import type {
  AttemptOutcome,
  AttemptSample,
  PlacementRequest,
} from "../ports/server_router.ts";
import type { ConnectProbe } from "./connect_probe.ts";
import type { FleetLog } from "./fleet_log.ts";

/**
 * How long an attempt that ended without a response is kept. A caller may
 * disconnect before its request crashes the server.
 */
const RECENT_ATTEMPT_MS = 2_000;
/** Attempts kept for each server; a server runs a few requests at a time. */
const MAX_RECENT_ATTEMPTS = 16;

/** An attempt that ended without a response. */
export interface UnansweredAttempt {
  readonly request: RequestId;
  /** The same for all sendings of the same request. */
  readonly fingerprint: string;
  /** Number of the attempt, from 1. */
  readonly attempt: number;
  readonly outcome: AttemptOutcome;
  /** Monotonic time of the dispatch, in milliseconds. */
  readonly sentAtMs: number;
}

/** A server that went down, and the requests that it may have been running. */
export interface ServerCrash {
  readonly server: ServerId;
  readonly attempts: readonly UnansweredAttempt[];
}

/** Dependencies of a {@link CrashObserver}. */
export interface CrashObserverOptions {
  readonly probe: ConnectProbe;
  readonly clock: Clock;
  readonly log: FleetLog;
  /** Called for each crash. */
  readonly handleCrash: (crash: ServerCrash) => void;
}

/** An attempt that has ended, with what was sent where. */
export interface EndedRun {
  readonly server: ProbedServer;
  readonly request: PlacementRequest;
  readonly sample: AttemptSample;
  /** Monotonic time of the dispatch, in milliseconds. */
  readonly sentAtMs: number;
}

/** Identifier and address of a backend server. */
export interface ProbedServer {
  readonly id: ServerId;
  readonly address: SocketAddress;
}

interface EndedAttempt extends UnansweredAttempt {
  readonly endedAtMs: number;
}

/**
 * Collects attempts without a response. When a connection breaks, it probes the
 * server: one that refuses connections has crashed, and the attempts that ended
 * there shortly before may be the cause. One that accepts them only lost a
 * connection.
 */
export class CrashObserver {
  readonly #options: CrashObserverOptions;
  readonly #recent = new Map<ServerId, EndedAttempt[]>();
  readonly #probing = new Set<ServerId>();

  /**
   * Creates an observer that has seen no attempt.
   *
   * @param options - probe, clock, log and the handler of crashes
   */
  constructor(options: CrashObserverOptions) {
    this.#options = options;
  }

  /**
   * Records the end of an attempt. If its connection broke, the server is
   * probed.
   *
   * @param ended - the attempt
   */
  observe({ server, request, sample, sentAtMs }: EndedRun): void {
    if (sample.outcome === "connect-failed") {
      this.#observeConnectFailure(server);
      return;
    }
    if (!isUnanswered(sample)) {
      return;
    }
    const nowMs = this.#options.clock.readMonotonicMs();
    const kept = this.#listRecent(server.id, nowMs);
    kept.push({
      request: request.context.id,
      fingerprint: request.fingerprint,
      attempt: request.attempt,
      outcome: sample.outcome,
      sentAtMs,
      endedAtMs: nowMs,
    });
    this.#recent.set(server.id, kept.slice(-MAX_RECENT_ATTEMPTS));
    if (sample.outcome !== "cancelled") {
      void this.#probe(server);
    }
  }

  // The failure itself concerns a request that was not sent, but those that
  // ended there before may have crashed the server.
  #observeConnectFailure(server: ProbedServer): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    if (this.#listRecent(server.id, nowMs).length > 0) {
      void this.#probe(server);
    }
  }

  async #probe(server: ProbedServer): Promise<void> {
    if (this.#probing.has(server.id)) {
      return;
    }
    this.#probing.add(server.id);
    const probedAtMs = this.#options.clock.readMonotonicMs();
    const result = await this.#options.probe.probe(server.address);
    this.#probing.delete(server.id);
    const nowMs = this.#options.clock.readMonotonicMs();
    const attempts = this.#listRecent(server.id, nowMs);
    this.#recent.delete(server.id);
    this.#recordBroken(server.id, attempts, result);
    if (result === "refused") {
      this.#reportCrash({ server: server.id, attempts });
    } else {
      // A connection that broke after the probe was sent shows nothing of it.
      this.#keepLater(server, attempts, probedAtMs);
    }
  }

  #keepLater(
    server: ProbedServer,
    attempts: readonly EndedAttempt[],
    probedAtMs: number,
  ): void {
    const later = attempts.filter(({ outcome, endedAtMs }) =>
      outcome === "cancelled" || endedAtMs > probedAtMs
    );
    if (later.length === 0) {
      return;
    }
    this.#recent.set(server.id, later);
    if (later.some(({ outcome }) => outcome !== "cancelled")) {
      void this.#probe(server);
    }
  }

  #reportCrash(crash: ServerCrash): void {
    this.#options.log.record("server-crashed", {
      server: crash.server,
      requests: crash.attempts.length,
    });
    this.#options.handleCrash(crash);
  }

  #recordBroken(
    server: ServerId,
    attempts: readonly UnansweredAttempt[],
    result: string,
  ): void {
    for (const { request, fingerprint, attempt, outcome } of attempts) {
      if (outcome !== "cancelled") {
        this.#options.log.record("attempt-broken", {
          request,
          fingerprint,
          attempt,
          server,
          outcome,
          connect: result,
        });
      }
    }
  }

  #listRecent(server: ServerId, nowMs: number): EndedAttempt[] {
    const known = this.#recent.get(server) ?? [];
    return known.filter(({ endedAtMs }) =>
      nowMs - endedAtMs <= RECENT_ATTEMPT_MS
    );
  }
}

// A server that answers, if only with an error, is running.
function isUnanswered({ outcome, firstByteMs }: AttemptSample): boolean {
  switch (outcome) {
    case "reset-before-first-byte":
    case "cut":
      return true;
    case "timed-out":
    case "cancelled":
      return firstByteMs === undefined;
    case "served":
    case "failed":
    case "shed":
    case "connect-failed":
      return false;
  }
}
