/** Tells server crashes from single broken connections, at one VM. */

import type { Clock } from "@limpetford/core/time/clock";
import type { RequestId, ServerId } from "@limpetford/domain/ids";
import type { SocketAddress } from "@limpetford/domain/vm";

import type {
  AttemptOutcome,
  AttemptSample,
  PlacementRequest,
} from "../ports/server_router.ts";
import { UNUSED_SAMPLE } from "../serving/lazy_slot_request.ts";
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
  /** Monotonic time of its end, in milliseconds. */
  readonly endedAtMs: number;
  /** True if the server accepted a new connection for it. */
  readonly wasServerRunning: boolean;
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
  /** Finds out whether this VM reaches other servers, if one refuses it. */
  readonly verifyLinks: (server: ServerId) => Promise<boolean>;
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

/**
 * Collects attempts without a response. When a connection breaks, it probes the
 * server: one that refuses connections has crashed, and the attempts that ended
 * there shortly before may be the cause. One that accepts them only lost a
 * connection. If all servers refuse this VM, its links are at fault.
 */
export class CrashObserver {
  readonly #options: CrashObserverOptions;
  readonly #recent = new Map<ServerId, UnansweredAttempt[]>();
  /** Probes under way. */
  readonly #probes = new Map<ServerId, Promise<void>>();

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
   * @returns resolves after the probe; undefined if there is none
   */
  observe(
    { server, request, sample, sentAtMs }: EndedRun,
  ): Promise<void> | undefined {
    const nowMs = this.#options.clock.readMonotonicMs();
    const kept = this.#listRecent(server.id, nowMs);
    if (sample.outcome === "connect-failed") {
      // The request was not sent, but those that ended there shortly before may
      // have crashed the server.
      return kept.length > 0 ? this.#startProbe(server) : undefined;
    }
    if (!isUnanswered(sample)) {
      return undefined;
    }
    kept.push({
      request: request.context.id,
      fingerprint: request.fingerprint,
      attempt: request.attempt,
      outcome: sample.outcome,
      sentAtMs,
      endedAtMs: nowMs,
      wasServerRunning: !sample.wasConnectionReused,
    });
    this.#recent.set(server.id, kept.slice(-MAX_RECENT_ATTEMPTS));
    return sample.outcome === "cancelled"
      ? undefined
      : this.#startProbe(server);
  }

  /**
   * Finds the probe that may show that a request has crashed a server.
   *
   * @param fingerprint - fingerprint of the request
   * @returns resolves after the probe; undefined if there is none
   */
  findProbe(fingerprint: string): Promise<void> | undefined {
    for (const [server, probe] of this.#probes) {
      const attempts = this.#recent.get(server) ?? [];
      if (attempts.some((attempt) => attempt.fingerprint === fingerprint)) {
        return probe;
      }
    }
    return undefined;
  }

  #startProbe(server: ProbedServer): Promise<void> {
    const running = this.#probes.get(server.id);
    if (running !== undefined) {
      return running;
    }
    const probe = this.#probe(server);
    this.#probes.set(server.id, probe);
    return probe;
  }

  async #probe(server: ProbedServer): Promise<void> {
    const probedAtMs = this.#options.clock.readMonotonicMs();
    const { probe, verifyLinks } = this.#options;
    const result = await probe.probe(server.address);
    const hasCrashed = result === "refused" && await verifyLinks(server.id);
    this.#probes.delete(server.id);
    const nowMs = this.#options.clock.readMonotonicMs();
    const attempts = this.#listRecent(server.id, nowMs);
    this.#recent.delete(server.id);
    this.#recordBroken(server.id, attempts, result);
    if (hasCrashed) {
      this.#reportCrash({ server: server.id, attempts });
    } else {
      // A connection that broke after the probe was sent shows nothing of it.
      await this.#keepLater(server, attempts, probedAtMs);
    }
  }

  async #keepLater(
    server: ProbedServer,
    attempts: readonly UnansweredAttempt[],
    probedAtMs: number,
  ): Promise<void> {
    const later = attempts.filter(({ outcome, endedAtMs }) =>
      outcome === "cancelled" || endedAtMs > probedAtMs
    );
    if (later.length === 0) {
      return;
    }
    this.#recent.set(server.id, later);
    if (later.some(({ outcome }) => outcome !== "cancelled")) {
      await this.#startProbe(server);
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

  #listRecent(server: ServerId, nowMs: number): UnansweredAttempt[] {
    const known = this.#recent.get(server) ?? [];
    return known.filter(({ endedAtMs }) =>
      nowMs - endedAtMs <= RECENT_ATTEMPT_MS
    );
  }
}

// A server that answers, if only with an error, is running.
function isUnanswered(sample: AttemptSample): boolean {
  switch (sample.outcome) {
    case "reset-before-first-byte":
    case "cut":
      return true;
    case "timed-out":
    case "cancelled":
      return sample.firstByteMs === undefined && sample !== UNUSED_SAMPLE;
    case "served":
    case "failed":
    case "shed":
    case "connect-failed":
      return false;
  }
}
