/** Tells server crashes from single broken connections, at one VM. */

import type { Clock } from "@limpetford/core/time/clock";
import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import type { ServerId } from "@limpetford/domain/ids";
import { SERVER_STATE } from "@limpetford/domain/service";
import { formatAddress } from "@limpetford/domain/vm";

import type {
  AttemptSample,
  PlacementRequest,
} from "../ports/server_router.ts";
import {
  type ContainedExceptions,
  EXCEPTION_SOURCE,
} from "../telemetry/contained_exceptions.ts";
import type { ConnectProbe, ConnectResult } from "./connect_probe.ts";
import type { FleetLog } from "./fleet_log.ts";
import {
  type ProbedServer,
  type UnansweredAttempt,
  UnresolvedAttempts,
} from "./unresolved_attempts.ts";

/** Shortest time that an attempt without a response is kept after its end. */
const MIN_KEPT_MS = 2_000;
/**
 * How long an attempt is kept after its deadline, at which its server stops
 * work: for the way to the server, and until the crash is noticed.
 */
const KEPT_AFTER_DEADLINE_MS = 1_000;
/** Time between two probes of a server that may be running a suspect request. */
const WATCH_INTERVAL_MS = 500;
/** Servers probed at a time because they may be running a suspect request. */
const MAX_WATCHED_SERVERS = 20;

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
  /** Receives what a probe's steps throw; its attempts are kept. */
  readonly exceptions: ContainedExceptions;
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
  /** True if the request was suspect when it was sent. */
  readonly wasSuspect?: boolean;
}

/** What the announcement of a server says of its present start. */
export type ServerStart = Pick<AnnouncedServer, "startedAtMs" | "state">;

/**
 * Collects attempts without a response. When a connection breaks, it probes the
 * server: one that refuses connections has crashed, and the attempts that it may
 * have been running may be the cause. One that accepts them only lost a
 * connection, and may be running the attempt still. If all servers refuse this
 * VM, its links are at fault. A server that has started again has crashed too.
 */
export class CrashObserver {
  readonly #options: CrashObserverOptions;
  readonly #unresolved = new UnresolvedAttempts();
  /** Probes under way. */
  readonly #probes = new Map<ServerId, Promise<void>>();
  #watchedAtMs = -Infinity;

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
  observe(ended: EndedRun): Promise<void> | undefined {
    const { server, request, sample } = ended;
    const nowMs = this.#options.clock.readMonotonicMs();
    if (sample.outcome === "connect-failed") {
      // The request was not sent, but those that the server may have been running
      // may have crashed it.
      return this.#unresolved.list(server.id, nowMs).length > 0
        ? this.#startProbe(server)
        : undefined;
    }
    if (
      sample.outcome === "served" && this.#unresolved.has(request.context.id)
    ) {
      this.#unresolved.dropRequest(request.fingerprint);
    }
    if (!isUnanswered(sample)) {
      return undefined;
    }
    this.#unresolved.put(server, buildUnanswered(ended, nowMs));
    return sample.outcome === "cancelled"
      ? undefined
      : this.#startProbe(server);
  }

  /**
   * Looks for crashes that no other attempt shows: probes the servers that may be
   * running a suspect request, and checks which servers have started again.
   *
   * @param suspects - fingerprints of the suspect requests
   * @param findStart - present start of a server; undefined if not known
   */
  update(
    suspects: readonly string[],
    findStart: (server: ServerId) => ServerStart | undefined,
  ): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    if (nowMs - this.#watchedAtMs < WATCH_INTERVAL_MS) {
      return;
    }
    this.#watchedAtMs = nowMs;
    this.#unresolved.expire(nowMs);
    for (const { id } of this.#unresolved.listServers()) {
      this.#checkStart(id, findStart(id));
    }
    this.#unresolved.listServersOf(suspects).slice(-MAX_WATCHED_SERVERS)
      .forEach((server) => {
        void this.#startProbe(server);
      });
  }

  /**
   * Records that a server has ended an idle connection. A server that crashes
   * ends all of them, one that goes on ends some of them in time.
   *
   * @param address - address of the server, as `host:port`
   */
  observeIdleLost(address: string): void {
    const servers = this.#unresolved.listServers().filter((server) =>
      formatAddress(server.address) === address
    );
    for (const server of servers) {
      void this.#startProbe(server);
    }
  }

  /**
   * Records a crash that another VM has noticed.
   *
   * @param server - server that crashed
   * @param atMs - monotonic time of the crash, in milliseconds
   */
  observePeerCrash(server: ServerId, atMs: number): void {
    const attempts = this.#unresolved.takeSent(
      server,
      ({ sentAtMs }) => sentAtMs < atMs,
    );
    if (attempts.length > 0) {
      this.#reportCrash({ server, attempts });
    }
  }

  /**
   * Finds the probe that may show that a request has crashed a server.
   *
   * @param fingerprint - fingerprint of the request
   * @returns resolves after the probe; undefined if there is none
   */
  findProbe(fingerprint: string): Promise<void> | undefined {
    for (const [server, probe] of this.#probes) {
      const nowMs = this.#options.clock.readMonotonicMs();
      const attempts = this.#unresolved.list(server, nowMs);
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
    const probe = this.#options.exceptions
      .wait(EXCEPTION_SOURCE.server, this.#probe(server))
      .finally(() => {
        if (this.#probes.get(server.id) === probe) {
          this.#probes.delete(server.id);
        }
      });
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
    const attempts = this.#unresolved.take(server.id, nowMs);
    this.#recordBroken(server.id, attempts, result);
    if (hasCrashed) {
      this.#reportCrash({ server: server.id, attempts });
    } else {
      // A connection that broke after the probe was sent shows nothing of it.
      const later = attempts.filter(({ wasGivenUp, endedAtMs }) =>
        !wasGivenUp && endedAtMs > probedAtMs
      );
      this.#keep(server, attempts, { later, result });
      if (later.length > 0) {
        await this.#startProbe(server);
      }
    }
  }

  // A server that accepts connections may still be running what it has not
  // answered. If the links are at fault, they ended the broken attempts.
  #keep(
    server: ProbedServer,
    attempts: readonly UnansweredAttempt[],
    { later, result }: {
      readonly later: readonly UnansweredAttempt[];
      readonly result: ConnectResult;
    },
  ): void {
    for (const attempt of attempts) {
      if (attempt.wasGivenUp || later.includes(attempt)) {
        this.#unresolved.put(server, attempt);
      } else if (result !== "refused") {
        this.#unresolved.put(server, { ...attempt, wasGivenUp: true });
      }
    }
  }

  #checkStart(server: ServerId, start: ServerStart | undefined): void {
    if (start === undefined) {
      return;
    }
    if (this.#unresolved.hasRestarted(server, start.startedAtMs)) {
      this.#observeRestart(server, start.startedAtMs);
    }
    const isLeaving = start.state === SERVER_STATE.leaving;
    this.#unresolved.setLeaving(server, isLeaving);
  }

  #observeRestart(server: ServerId, startedAtMs: number): void {
    const { clock } = this.#options;
    const ageMs = clock.readWallMs() - startedAtMs;
    const restartedAtMs = clock.readMonotonicMs() - ageMs;
    const attempts = this.#unresolved.takeSent(
      server,
      ({ serverStartedAtMs = startedAtMs, sentAtMs }) =>
        serverStartedAtMs < startedAtMs && sentAtMs < restartedAtMs,
    );
    if (attempts.length > 0 && !this.#unresolved.isLeaving(server)) {
      this.#reportCrash({ server, attempts });
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
    for (
      const { request, fingerprint, attempt, outcome, wasGivenUp } of attempts
    ) {
      if (!wasGivenUp) {
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
}

function buildUnanswered(
  { server, request, sample, sentAtMs, wasSuspect }: EndedRun,
  nowMs: number,
): UnansweredAttempt {
  const { id, deadlineAtMs } = request.context;
  return {
    request: id,
    fingerprint: request.fingerprint,
    attempt: request.attempt,
    outcome: sample.outcome,
    sentAtMs,
    endedAtMs: nowMs,
    wasServerRunning: !sample.wasConnectionReused && sample.wasSent !== false,
    wasGivenUp: sample.outcome === "cancelled",
    wasSuspect: wasSuspect === true,
    keptUntilMs: Math.max(
      nowMs + MIN_KEPT_MS,
      deadlineAtMs + KEPT_AFTER_DEADLINE_MS,
    ),
    serverStartedAtMs: server.startedAtMs,
  };
}

// A server that answers, if only with an error, is running.
function isUnanswered(sample: AttemptSample): boolean {
  switch (sample.outcome) {
    case "reset-before-first-byte":
    case "cut":
      return true;
    case "timed-out":
      return sample.firstByteMs === undefined;
    case "cancelled":
      return sample.firstByteMs === undefined && sample.wasSent !== false;
    case "served":
    case "failed":
    case "shed":
    case "connect-failed":
      return false;
  }
}
