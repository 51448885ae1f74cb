/** Decides whether this VM can still reach the servers of one service. */

import type { ServerId } from "@limpetford/domain/ids";

import type { AttemptSample } from "../evidence/attempt_sample.ts";

/** Servers in trouble, without an answer from any, that raise a suspicion. */
const SUSPECT_SERVERS = 2;
/** Time without an answer before unanswered requests raise a suspicion. */
const SILENT_MS = 250;
/** Time between two rounds of connects while a suspicion lasts. */
const RECHECK_INTERVAL_MS = 500;
/** The same while no server is reachable; doubled after each round. */
const MIN_RECOVERY_INTERVAL_MS = 300;
const MAX_RECOVERY_INTERVAL_MS = 1_200;
/** Rounds in a row with a connection after which servers count as reachable. */
const RECOVERY_ROUNDS = 2;

/** Result of one round of connects to some servers of the service. */
export interface ConnectRound {
  /** Servers that accepted a connection. */
  readonly accepted: number;
  /** Servers that refused, reset or did not answer. */
  readonly failed: number;
}

/** Change of a service's reachability. */
export type ReachChange = "lost" | "regained" | "none";

/**
 * Watches the attempts at the servers of a service. Trouble at several servers
 * with no answer from any is a suspicion; a round of connects tells whether this
 * VM's links are at fault. A single server in trouble, or some among others that
 * answer, never is.
 */
export class ServiceReach {
  readonly #silent = new Set<ServerId>();
  readonly #unconnected = new Set<ServerId>();
  #answeredAtMs = -Infinity;
  #reachedAtMs = -Infinity;
  #nextRoundAtMs = -Infinity;
  #recoveryRounds = 0;
  #recoveryIntervalMs = MIN_RECOVERY_INTERVAL_MS;
  #lostAtMs: number | undefined;
  #regainedAtMs = -Infinity;

  /**
   * Whether no server of the service can be reached.
   *
   * @returns false until a round of connects has shown it
   */
  get isUnreachable(): boolean {
    return this.#lostAtMs !== undefined;
  }

  /**
   * Monotonic time at which the servers became unreachable.
   *
   * @returns milliseconds; undefined while they are not
   */
  get lostAtMs(): number | undefined {
    return this.#lostAtMs;
  }

  /**
   * Monotonic time of the latest answer, or of the latest accepted connection.
   *
   * @returns milliseconds; -Infinity before the first one
   */
  get reachedAtMs(): number {
    return this.#reachedAtMs;
  }

  /**
   * Whether failures of the link say nothing about the servers, since this VM
   * itself may have lost them.
   *
   * @returns true while a suspicion lasts or no server can be reached
   */
  get isInDoubt(): boolean {
    return this.isUnreachable || this.#silent.size >= SUSPECT_SERVERS ||
      this.#unconnected.size >= SUSPECT_SERVERS;
  }

  /**
   * Checks whether the server may be blamed for an attempt that failed on the way.
   *
   * @param startedAtMs - monotonic time at which the attempt began
   * @returns false if this VM may have lost all servers since then
   */
  mayBlameServer(startedAtMs: number): boolean {
    return !this.isInDoubt && startedAtMs >= this.#regainedAtMs;
  }

  /**
   * Checks whether attempts at a server failed on the way since the last answer.
   *
   * @param server - server of the service
   * @returns true if it is one of those that raise a suspicion
   */
  isSuspected(server: ServerId): boolean {
    return this.#silent.has(server) || this.#unconnected.has(server);
  }

  /**
   * Records the end of an attempt.
   *
   * @param server - server of the attempt
   * @param sample - its outcome, and whether it had an answer
   * @param nowMs - monotonic time
   */
  recordAttempt(server: ServerId, sample: AttemptSample, nowMs: number): void {
    if (sample.firstByteMs !== undefined) {
      this.#recordAnswer(sample.wasConnectionReused, nowMs);
      return;
    }
    if (sample.outcome === "connect-failed") {
      this.#unconnected.add(server);
      this.#silent.add(server);
    } else if (sample.outcome === "reset-before-first-byte") {
      this.#silent.add(server);
    }
  }

  /**
   * Records the servers at which requests are overdue.
   *
   * @param overdue - servers with a request that should have been answered
   * @param nowMs - monotonic time
   */
  recordOverdue(overdue: readonly ServerId[], nowMs: number): void {
    if (nowMs - this.#answeredAtMs < SILENT_MS) {
      return;
    }
    for (const server of overdue) {
      this.#silent.add(server);
    }
  }

  /**
   * Checks whether a round of connects is due.
   *
   * @param serverCount - servers of the service that accept requests
   * @param nowMs - monotonic time
   * @returns true if servers are suspected or known to be unreachable
   */
  shouldProbe(serverCount: number, nowMs: number): boolean {
    if (serverCount === 0 || nowMs < this.#nextRoundAtMs) {
      return false;
    }
    const needed = Math.min(SUSPECT_SERVERS, serverCount);
    return this.isUnreachable || this.#silent.size >= needed ||
      this.#unconnected.size >= needed;
  }

  /**
   * Records that a round of connects has begun.
   *
   * @param nowMs - monotonic time
   */
  beginRound(nowMs: number): void {
    if (!this.isUnreachable) {
      this.#nextRoundAtMs = nowMs + RECHECK_INTERVAL_MS;
      return;
    }
    this.#nextRoundAtMs = nowMs + this.#recoveryIntervalMs;
    this.#recoveryIntervalMs = Math.min(
      MAX_RECOVERY_INTERVAL_MS,
      this.#recoveryIntervalMs * 2,
    );
  }

  /**
   * Records the result of a round of connects.
   *
   * @param round - connections accepted and failed
   * @param nowMs - monotonic time
   * @returns whether the servers became unreachable or reachable
   */
  recordRound({ accepted, failed }: ConnectRound, nowMs: number): ReachChange {
    if (accepted > 0) {
      this.#reachedAtMs = nowMs;
      return this.#recordAccepted(nowMs);
    }
    this.#recoveryRounds = 0;
    if (failed === 0 || this.isUnreachable) {
      return "none";
    }
    this.#lostAtMs = nowMs;
    this.#recoveryIntervalMs = MIN_RECOVERY_INTERVAL_MS;
    this.#nextRoundAtMs = nowMs + MIN_RECOVERY_INTERVAL_MS;
    return "lost";
  }

  #recordAccepted(nowMs: number): ReachChange {
    if (!this.isUnreachable) {
      this.#clearSuspicion();
      return "none";
    }
    this.#recoveryRounds += 1;
    if (this.#recoveryRounds < RECOVERY_ROUNDS) {
      this.#recoveryIntervalMs = MIN_RECOVERY_INTERVAL_MS;
      this.#nextRoundAtMs = nowMs + MIN_RECOVERY_INTERVAL_MS;
      return "none";
    }
    this.#lostAtMs = undefined;
    this.#regainedAtMs = nowMs;
    this.#recoveryRounds = 0;
    this.#clearSuspicion();
    return "regained";
  }

  // Connections that are open may live on while no new one can be made.
  #recordAnswer(wasConnectionReused: boolean, nowMs: number): void {
    this.#answeredAtMs = nowMs;
    this.#reachedAtMs = nowMs;
    this.#silent.clear();
    if (!wasConnectionReused) {
      this.#unconnected.clear();
      this.#recordNewConnection(nowMs);
    }
  }

  // A request that was answered over a new connection counts like a round, and the
  // next one is due.
  #recordNewConnection(nowMs: number): void {
    if (this.isUnreachable) {
      this.#recoveryRounds = RECOVERY_ROUNDS - 1;
      this.#nextRoundAtMs = nowMs;
    }
  }

  #clearSuspicion(): void {
    this.#silent.clear();
    this.#unconnected.clear();
  }
}
