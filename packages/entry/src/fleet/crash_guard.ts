/** Keeps requests that crash backend servers from running again and again. */

import { SuspectRunGate } from "@limpetford/core/quarantine/suspect_run_gate";
import {
  countCrashes,
  SUSPICION_STATUS,
} from "@limpetford/core/quarantine/suspicion";
import type { SuspicionRegistry } from "@limpetford/core/quarantine/suspicion_registry";
import type { Clock } from "@limpetford/core/time/clock";
import type { ServerId } from "@limpetford/domain/ids";

import type {
  PlacementRequest,
  PlacementVerdict,
} from "../ports/server_router.ts";
import {
  type ContainedExceptions,
  EXCEPTION_SOURCE,
} from "../telemetry/contained_exceptions.ts";
import type { ConnectProbe } from "./connect_probe.ts";
import {
  CrashObserver,
  type EndedRun,
  type ServerCrash,
  type ServerStart,
} from "./crash_observer.ts";
import type { FleetLog } from "./fleet_log.ts";
import { buildRunId, type ProbedServer } from "./unresolved_attempts.ts";

/** Retry delay told to callers whose request is quarantined. */
const QUARANTINE_RETRY_AFTER_MS = 60_000;
/** Retry delay told to callers whose suspect request could not run in time. */
const SUSPECT_RETRY_AFTER_MS = 500;
/**
 * Longest time that a retry waits for the probe of the server that its first
 * attempt may have crashed.
 */
const MAX_PROBE_WAIT_MS = 30;
/** Longest time that a suspect request waits for the run of an equal one. */
const MAX_WAIT_MS = 2_000;

/** Suspect requests whose servers are probed, the last ones that changed. */
const MAX_WATCHED_SUSPECTS = 50;

/** Dependencies of a {@link CrashGuard}. */
export interface CrashGuardOptions {
  readonly registry: SuspicionRegistry;
  readonly probe: ConnectProbe;
  readonly clock: Clock;
  readonly log: FleetLog;
  /** Receives what probes throw. */
  readonly exceptions: ContainedExceptions;
  /** Finds out whether this VM reaches other servers, if one refuses it. */
  readonly verifyLinks: (server: ServerId) => Promise<boolean>;
  /** Called after each crash of a server that this VM has noticed. */
  readonly handleCrash: (crash: ServerCrash) => void;
}

/** Why a request may not run. */
export type GuardRefusal = Extract<
  PlacementVerdict,
  { readonly kind: "quarantined" | "overloaded" }
>;

/**
 * Admits requests by what is known of equal ones: a suspect runs once at a time
 * at this VM, a quarantined one does not run.
 */
export class CrashGuard {
  readonly #options: CrashGuardOptions;
  readonly #observer: CrashObserver;
  readonly #gate = new SuspectRunGate();
  readonly #gated = new WeakSet<PlacementRequest>();
  readonly #waiting = new Map<string, Set<() => void>>();

  /**
   * Creates a guard that has seen no crash.
   *
   * @param options - registry, probe, clock and log
   */
  constructor(options: CrashGuardOptions) {
    this.#options = options;
    this.#observer = new CrashObserver({
      ...options,
      handleCrash: (crash) => {
        this.#recordCrash(crash);
      },
    });
    options.registry.subscribe(({ fingerprint }) => {
      this.#notifyWaiting(fingerprint);
    });
  }

  /**
   * Checks whether a request must be admitted.
   *
   * @param request - request that asks for a slot
   * @returns false if nothing is known that could keep it from running
   */
  shouldAdmit(request: PlacementRequest): boolean {
    return !this.#options.registry.isEmpty ||
      (request.attempt > 1 &&
        this.#observer.findProbe(request.fingerprint) !== undefined);
  }

  /**
   * Admits a request, after the run of an equal one if both are suspect. Each
   * admitted request must be given to `complete` or `withdraw`.
   *
   * @param request - request that asks for a slot
   * @returns undefined if it may run, or the refusal
   */
  async admit(request: PlacementRequest): Promise<GuardRefusal | undefined> {
    const { registry, clock } = this.#options;
    const { fingerprint, signal } = request;
    const endAtMs = clock.readMonotonicMs() + MAX_WAIT_MS;
    const probe = this.#observer.findProbe(fingerprint);
    if (probe !== undefined) {
      await Promise.race([probe, waitMs(MAX_PROBE_WAIT_MS)]);
    }
    for (;;) {
      registry.settle(clock.readMonotonicMs());
      const status = registry.findStatus(fingerprint);
      if (status === SUSPICION_STATUS.cleared) {
        return undefined;
      }
      if (status === SUSPICION_STATUS.quarantined) {
        this.#recordSuspect(request);
        return { kind: "quarantined", retryAfterMs: QUARANTINE_RETRY_AFTER_MS };
      }
      const nowMs = clock.readMonotonicMs();
      const holdMs = registry.computeHoldMs(fingerprint, nowMs);
      if (holdMs === 0 && this.#gate.begin(fingerprint, nowMs)) {
        this.#recordSuspect(request);
        this.#gated.add(request);
        return undefined;
      }
      if (signal.aborted || nowMs >= endAtMs) {
        return { kind: "overloaded", retryAfterMs: SUSPECT_RETRY_AFTER_MS };
      }
      await this.#waitForChange(request, endAtMs - nowMs);
    }
  }

  /**
   * Checks whether a request runs as a suspect.
   *
   * @param request - request that was admitted
   * @returns true until its run has ended
   */
  isSuspect(request: PlacementRequest): boolean {
    return this.#gated.has(request);
  }

  /**
   * Finds out whether a server accepts connections, whether or not others do.
   *
   * @param server - identifier and address
   * @returns false if it refuses them or does not answer
   */
  async verifyListening({ address }: ProbedServer): Promise<boolean> {
    return await this.#options.probe.probe(address) === "accepted";
  }

  /**
   * Ends an admitted request that did not run.
   *
   * @param request - request that was admitted
   */
  withdraw(request: PlacementRequest): void {
    if (this.#gated.delete(request)) {
      this.#gate.complete(request.fingerprint);
      this.#notifyWaiting(request.fingerprint);
    }
  }

  /**
   * Records how a run ended.
   *
   * @param run - the admitted request, its server and its outcome
   */
  complete(run: EndedRun): void {
    const { registry, clock, log } = this.#options;
    const { request, server, sample } = run;
    if (sample.outcome === "served" && !registry.isEmpty) {
      const { fingerprint } = request;
      if (registry.recordServed(fingerprint, clock.readMonotonicMs())) {
        log.record("request-cleared", {
          request: request.context.id,
          fingerprint,
          server: server.id,
        });
      }
    }
    const probe = this.#observer.observe({
      ...run,
      wasSuspect: this.isSuspect(request),
    });
    if (probe === undefined) {
      this.withdraw(request);
    } else {
      const withdrawn = probe.then(() => {
        this.withdraw(request);
      });
      void this.#options.exceptions.wait(EXCEPTION_SOURCE.server, withdrawn);
    }
  }

  /**
   * Looks for crashes that no other request shows. Must be called regularly.
   *
   * @param findStart - present start of a server; undefined if not known
   */
  update(findStart: (server: ServerId) => ServerStart | undefined): void {
    const { registry } = this.#options;
    const suspects = registry.isEmpty ? [] : registry.list().filter(
      ({ status }) => status === SUSPICION_STATUS.suspect,
    ).slice(-MAX_WATCHED_SUSPECTS);
    this.#observer.update(
      suspects.map(({ fingerprint }) => fingerprint),
      findStart,
    );
  }

  /**
   * Records that a server has ended an idle connection.
   *
   * @param address - address of the server, as `host:port`
   */
  observeIdleLost(address: string): void {
    this.#observer.observeIdleLost(address);
  }

  /**
   * Records a crash that another VM has noticed.
   *
   * @param server - server that crashed
   * @param atMs - monotonic time of the crash, in milliseconds
   */
  observePeerCrash(server: ServerId, atMs: number): void {
    this.#observer.observePeerCrash(server, atMs);
  }

  #recordCrash(crash: ServerCrash): void {
    const { registry, clock, handleCrash } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const runs = crash.attempts.map(
      (run) => ({
        fingerprint: run.fingerprint,
        id: `${buildRunId(run)}/${crash.server}`,
        sentAtMs: run.sentAtMs,
        endedAtMs: run.wasGivenUp ? nowMs : run.endedAtMs,
        wasServerRunning: run.wasServerRunning,
        // A suspect was alone at its server, as far as this VM knows.
        wasGivenUp: run.wasGivenUp && !run.wasSuspect,
      }),
    );
    registry.recordCrash(crash.server, runs, nowMs);
    handleCrash(crash);
  }

  #recordSuspect({ context, fingerprint }: PlacementRequest): void {
    const { registry, log } = this.#options;
    log.record("request-suspect", {
      request: context.id,
      fingerprint,
      status: registry.findStatus(fingerprint),
      crashes: countCrashes(registry.find(fingerprint)?.runs ?? []),
    });
  }

  async #waitForChange(
    { fingerprint, signal }: PlacementRequest,
    maxMs: number,
  ): Promise<void> {
    const nowMs = this.#options.clock.readMonotonicMs();
    const blockedMs = Math.max(
      this.#gate.computeWaitMs(fingerprint, nowMs),
      this.#options.registry.computeHoldMs(fingerprint, nowMs),
    );
    const waiting = this.#waiting.get(fingerprint) ?? new Set();
    this.#waiting.set(fingerprint, waiting);
    await new Promise<void>((resolve) => {
      const timer = setTimeout(handleChange, Math.min(maxMs, blockedMs));
      function handleChange(): void {
        clearTimeout(timer);
        signal.removeEventListener("abort", handleChange);
        waiting.delete(handleChange);
        resolve();
      }
      signal.addEventListener("abort", handleChange, { once: true });
      waiting.add(handleChange);
    });
    if (waiting.size === 0) {
      this.#waiting.delete(fingerprint);
    }
  }

  #notifyWaiting(fingerprint: string): void {
    for (const notify of [...this.#waiting.get(fingerprint) ?? []]) {
      notify();
    }
  }
}

async function waitMs(durationMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, durationMs));
}
