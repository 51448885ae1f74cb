/** Attempts without a response that their servers may still be running. */

import type { RequestId, ServerId } from "@limpetford/domain/ids";
import type { SocketAddress } from "@limpetford/domain/vm";

import type { AttemptOutcome } from "../ports/server_router.ts";

/** Attempts kept for each server, the newest ones. */
const MAX_PER_SERVER = 64;
/** Attempts kept in all. */
const MAX_ATTEMPTS = 16_384;

/** Identifier, address and start of a backend server. */
export interface ProbedServer {
  readonly id: ServerId;
  readonly address: SocketAddress;
  /** Wall-clock time of its start, in milliseconds; absent if not known. */
  readonly startedAtMs?: number;
}

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
  /**
   * True if the server went on after this VM had ended the attempt, so that it
   * may have stopped work on it.
   */
  readonly wasGivenUp: boolean;
  /** True if the request was suspect when it was sent. */
  readonly wasSuspect: boolean;
  /** Monotonic time after which no crash can be due to it, in milliseconds. */
  readonly keptUntilMs: number;
  /** Start of the server that it was sent to; absent if not known. */
  readonly serverStartedAtMs?: number | undefined;
}

interface ServerAttempts {
  server: ProbedServer;
  /** Start of the server that the oldest attempt was sent to. */
  readonly firstStartMs: number | undefined;
  isLeaving: boolean;
  /** Oldest first; one for each request that was given up. */
  readonly attempts: Map<string, UnansweredAttempt>;
}

/** Keeps attempts by server, bounded in number and time. */
export class UnresolvedAttempts {
  readonly #servers = new Map<ServerId, ServerAttempts>();
  /** Number of attempts kept of each sending. */
  readonly #requests = new Map<RequestId, number>();
  #count = 0;

  /**
   * Number of attempts kept.
   *
   * @returns at most `MAX_ATTEMPTS`
   */
  get count(): number {
    return this.#count;
  }

  /**
   * Keeps an attempt. It takes the place of an earlier one of the same request
   * at this server if both were given up.
   *
   * @param server - server that may be running it
   * @param attempt - the attempt
   */
  put(server: ProbedServer, attempt: UnansweredAttempt): void {
    const known = this.#servers.get(server.id) ?? {
      server,
      firstStartMs: attempt.serverStartedAtMs,
      isLeaving: false,
      attempts: new Map(),
    };
    this.#servers.set(server.id, known);
    known.server = server;
    const key = buildKey(attempt);
    this.#remove(known, key);
    if (known.attempts.size >= MAX_PER_SERVER) {
      this.#removeOldest(known);
    } else if (this.#count >= MAX_ATTEMPTS) {
      this.#evict();
    }
    known.attempts.set(key, attempt);
    const sendings = this.#requests.get(attempt.request) ?? 0;
    this.#requests.set(attempt.request, sendings + 1);
    this.#count += 1;
  }

  /**
   * Lists the attempts that a server may be running.
   *
   * @param server - the server
   * @param nowMs - monotonic time, in milliseconds
   * @returns the attempts, oldest first
   */
  list(server: ServerId, nowMs: number): readonly UnansweredAttempt[] {
    const attempts = this.#servers.get(server)?.attempts.values() ?? [];
    return [...attempts].filter(({ keptUntilMs }) => nowMs <= keptUntilMs);
  }

  /**
   * Removes the attempts that a server may be running.
   *
   * @param server - the server
   * @param nowMs - monotonic time, in milliseconds
   * @returns the attempts, oldest first
   */
  take(server: ServerId, nowMs: number): readonly UnansweredAttempt[] {
    const taken = this.list(server, nowMs);
    const known = this.#servers.get(server);
    if (known !== undefined) {
      [...known.attempts.keys()].forEach((key) => {
        this.#remove(known, key);
      });
      this.#servers.delete(server);
    }
    return taken;
  }

  /**
   * Checks whether an attempt of a sending is kept.
   *
   * @param request - identifier of the sending
   * @returns true if a server may be running it
   */
  has(request: RequestId): boolean {
    return this.#requests.has(request);
  }

  /**
   * Removes all attempts of a request, whichever server they were sent to.
   *
   * @param fingerprint - fingerprint of the request
   */
  dropRequest(fingerprint: string): void {
    this.#removeAll((attempt) => attempt.fingerprint === fingerprint);
  }

  /**
   * Removes attempts that no server can be running any longer.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  expire(nowMs: number): void {
    this.#removeAll(({ keptUntilMs }) => nowMs > keptUntilMs);
  }

  /**
   * Lists the servers that may be running an attempt.
   *
   * @returns the servers, each as it was when the last attempt ended
   */
  listServers(): readonly ProbedServer[] {
    return [...this.#servers.values()].map(({ server }) => server);
  }

  /**
   * Lists the servers that may be running requests that were given up.
   *
   * @param fingerprints - fingerprints of the requests
   * @returns the servers
   */
  listServersOf(fingerprints: readonly string[]): readonly ProbedServer[] {
    return [...this.#servers.values()].filter(({ attempts }) =>
      fingerprints.some((fingerprint) => attempts.has(fingerprint))
    ).map(({ server }) => server);
  }

  /**
   * Checks whether a server has started again since the oldest attempt.
   *
   * @param server - the server
   * @param startedAtMs - its present start, by its own clock
   * @returns true if attempts may have been sent to an earlier start
   */
  hasRestarted(server: ServerId, startedAtMs: number): boolean {
    const first = this.#servers.get(server)?.firstStartMs;
    return first !== undefined && first < startedAtMs;
  }

  /**
   * Removes those attempts at a server that its crash or restart has ended.
   *
   * @param server - the server
   * @param isEnded - true for an attempt that was sent before
   * @returns the attempts, oldest first
   */
  takeSent(
    server: ServerId,
    isEnded: (attempt: UnansweredAttempt) => boolean,
  ): readonly UnansweredAttempt[] {
    const known = this.#servers.get(server);
    const ended = [...known?.attempts ?? []].filter(([, attempt]) =>
      isEnded(attempt)
    );
    if (known !== undefined) {
      ended.forEach(([key]) => {
        this.#remove(known, key);
      });
    }
    return ended.map(([, attempt]) => attempt);
  }

  /**
   * Checks whether a server was ending as planned.
   *
   * @param server - the server
   * @returns false unless `setLeaving` said so
   */
  isLeaving(server: ServerId): boolean {
    return this.#servers.get(server)?.isLeaving === true;
  }

  /**
   * Records whether a server ends as planned.
   *
   * @param server - the server
   * @param isLeaving - true if it has announced so
   */
  setLeaving(server: ServerId, isLeaving: boolean): void {
    const known = this.#servers.get(server);
    if (known !== undefined) {
      known.isLeaving = isLeaving;
    }
  }

  #removeAll(isRemoved: (attempt: UnansweredAttempt) => boolean): void {
    for (const [id, known] of this.#servers) {
      for (const [key, attempt] of known.attempts) {
        if (isRemoved(attempt)) {
          this.#remove(known, key);
        }
      }
      if (known.attempts.size === 0) {
        this.#servers.delete(id);
      }
    }
  }

  #evict(): void {
    for (const known of this.#servers.values()) {
      if (known.attempts.size > 0) {
        this.#removeOldest(known);
        return;
      }
    }
  }

  #removeOldest(known: ServerAttempts): void {
    for (const key of known.attempts.keys()) {
      this.#remove(known, key);
      return;
    }
  }

  #remove(known: ServerAttempts, key: string): void {
    const attempt = known.attempts.get(key);
    if (attempt === undefined) {
      return;
    }
    known.attempts.delete(key);
    this.#count -= 1;
    const sendings = this.#requests.get(attempt.request) ?? 0;
    if (sendings > 1) {
      this.#requests.set(attempt.request, sendings - 1);
    } else {
      this.#requests.delete(attempt.request);
    }
  }
}

function buildKey(attempt: UnansweredAttempt): string {
  return attempt.wasGivenUp ? attempt.fingerprint : buildRunId(attempt);
}

/**
 * Builds an identifier of one run. That of the request does not do, as its caller may
 * send it again, and another VM counts its attempts as well.
 *
 * @param attempt - the attempt at a server
 * @returns text that no other run at that server has
 */
export function buildRunId(
  { request, attempt, sentAtMs }: Pick<
    UnansweredAttempt,
    "request" | "attempt" | "sentAtMs"
  >,
): string {
  return `${request}/${attempt}/${Math.round(sentAtMs)}`;
}
