/** Decides which requests crash the servers that run them. */

import {
  countCrashes,
  countDistantCrashes,
  isSameSuspicion,
  mergeSuspicions,
  type Suspicion,
  SUSPICION_STATUS,
  type SuspicionStatus,
} from "./suspicion.ts";

/** Crashes after which a request is quarantined. */
const CRASHES_TO_QUARANTINE = 2;
/**
 * The same while other servers crash without the request, since it may have
 * been in flight by coincidence.
 */
const CRASHES_TO_QUARANTINE_AMID_OTHERS = 3;
/**
 * Crashes needed besides if no run is known to have been under way at its crash.
 * A server most often stops work on a request that was given up.
 */
const MORE_CRASHES_IF_GIVEN_UP = 1;
/**
 * How long a request whose crashes are close to each other is held before it is
 * quarantined: servers that go down one after the other may take a popular request
 * and its retry with them, and another VM tells within this time that a
 * server has served it.
 */
const CONFIRMATION_MS = 1_000;
/** How long a crash without a request counts in that request's favor. */
const OTHER_CRASH_MS = 10_000;
/** How long a cleared request is kept, so that all VMs learn of it. */
const CLEARED_KEPT_MS = 60_000;
/** How long a suspect request is kept that has not crashed another server. */
export const SUSPECT_KEPT_MS = 86_400_000;
/** Suspicions kept; cleared ones are evicted first, then the oldest. */
const MAX_SUSPICIONS = 1_000;

/** A run that ended without a response when its server crashed. */
export interface InterruptedRun {
  readonly fingerprint: string;
  /** Tells this run from others, whichever VM passes it on. */
  readonly id: string;
  /** Monotonic time of the dispatch, in milliseconds. */
  readonly sentAtMs: number;
  /** Monotonic time at which it ended, in milliseconds. */
  readonly endedAtMs: number;
  /** True if the server accepted a new connection after the dispatch. */
  readonly wasServerRunning: boolean;
  /** True if its VM had given it up before the crash. */
  readonly wasGivenUp?: boolean;
}

/** Called with each suspicion that has changed. */
export type SuspicionListener = (suspicion: Suspicion) => void;

/**
 * Keeps the requests that were in flight when servers crashed. One that is in
 * flight at several crashes in a row and never served is quarantined; one that
 * a server serves is cleared. A quarantine has no time limit, since such a
 * request crashes another server whenever it is tried again.
 */
export class SuspicionRegistry {
  readonly #suspicions = new Map<string, Suspicion>();
  /** Monotonic time of the last change of each suspicion. */
  readonly #changedAtMs = new Map<string, number>();
  readonly #crashedAtMs = new Map<string, number>();
  readonly #listeners: SuspicionListener[] = [];
  /** Monotonic time at which each request that is held is quarantined. */
  readonly #heldUntilMs = new Map<string, number>();
  #activeCount = 0;

  /**
   * Checks whether fingerprints can be ignored.
   *
   * @returns true if no request is suspect or quarantined
   */
  get isEmpty(): boolean {
    return this.#activeCount === 0;
  }

  /**
   * Adds a listener for changes, whether observed here or learned.
   *
   * @param listener - called after each change
   */
  subscribe(listener: SuspicionListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Records the crash of a server.
   *
   * @param server - server that crashed
   * @param runs - runs that ended there without a response
   * @param nowMs - monotonic time, in milliseconds
   */
  recordCrash(
    server: string,
    runs: readonly InterruptedRun[],
    nowMs: number,
  ): void {
    this.recordServerCrash(server, nowMs);
    for (const interrupted of runs) {
      const { fingerprint, id, sentAtMs, endedAtMs } = interrupted;
      const known = this.#suspicions.get(fingerprint);
      const servers = known?.runs.map((run) => run.server) ?? [];
      const wasAmidOthers = this.#hasOtherCrash([...servers, server], nowMs);
      const run = {
        id,
        server,
        ranMs: endedAtMs - sentAtMs,
        crashedAtMs: endedAtMs,
        wasServerRunning: interrupted.wasServerRunning,
        ...interrupted.wasGivenUp === true ? { wasGivenUp: true } : {},
        ...wasAmidOthers ? { wasAmidOthers } : {},
      };
      this.apply({
        fingerprint,
        generation: known?.generation ?? 0,
        status: SUSPICION_STATUS.suspect,
        runs: [run],
      }, nowMs);
    }
  }

  /**
   * Records that a server has crashed, whatever ran there.
   *
   * @param server - server that crashed
   * @param atMs - monotonic time, in milliseconds
   */
  recordServerCrash(server: string, atMs: number): void {
    this.#crashedAtMs.set(server, atMs);
    for (const [other, crashedAtMs] of this.#crashedAtMs) {
      if (atMs - crashedAtMs > OTHER_CRASH_MS) {
        this.#crashedAtMs.delete(other);
      }
    }
  }

  /**
   * Clears a request that a server has served.
   *
   * @param fingerprint - fingerprint of the request
   * @param nowMs - monotonic time, in milliseconds
   * @returns true if the request was suspect or quarantined
   */
  recordServed(fingerprint: string, nowMs: number): boolean {
    const known = this.#suspicions.get(fingerprint);
    if (known === undefined || !isActive(known)) {
      return false;
    }
    this.#put({
      ...known,
      generation: known.generation + 1,
      status: SUSPICION_STATUS.cleared,
      runs: [],
    }, nowMs);
    return true;
  }

  /**
   * Merges knowledge about a request, and quarantines the request if its runs
   * together show that it crashes servers.
   *
   * @param learned - knowledge of this VM, another VM or the store
   * @param nowMs - monotonic time, in milliseconds
   * @returns true if it added to what was known here
   */
  apply(learned: Suspicion, nowMs: number): boolean {
    const known = this.#suspicions.get(learned.fingerprint);
    const merged = known === undefined
      ? learned
      : mergeSuspicions(known, learned);
    if (known !== undefined && isSameSuspicion(known, merged)) {
      return false;
    }
    this.#put(this.#decide(merged, nowMs), nowMs);
    return true;
  }

  /**
   * Quarantines the requests that were held and that no server has served in the
   * meantime. Must be called regularly.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  settle(nowMs: number): void {
    for (const [fingerprint, heldUntilMs] of [...this.#heldUntilMs]) {
      const known = this.#suspicions.get(fingerprint);
      if (known !== undefined && nowMs >= heldUntilMs) {
        this.#put(this.#decide(known, nowMs), nowMs);
      }
    }
  }

  /**
   * Computes how long a request may not run because its crashes, which are close
   * to each other, would quarantine it unless a server has served it.
   *
   * @param fingerprint - fingerprint of the request
   * @param nowMs - monotonic time, in milliseconds
   * @returns milliseconds; 0 if it is not held
   */
  computeHoldMs(fingerprint: string, nowMs: number): number {
    const heldUntilMs = this.#heldUntilMs.get(fingerprint) ?? nowMs;
    return Math.max(0, heldUntilMs - nowMs);
  }

  /**
   * Drops what no VM needs to know any longer.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  expire(nowMs: number): void {
    for (const { fingerprint, status } of this.list()) {
      const ageMs = nowMs - (this.#changedAtMs.get(fingerprint) ?? nowMs);
      const isExpired = status === SUSPICION_STATUS.cleared
        ? ageMs > CLEARED_KEPT_MS
        : status === SUSPICION_STATUS.suspect && ageMs > SUSPECT_KEPT_MS;
      if (isExpired) {
        this.#remove(fingerprint);
      }
    }
  }

  /**
   * Finds what is known of a request.
   *
   * @param fingerprint - fingerprint of the request
   * @returns the suspicion; undefined if the request was never suspect
   */
  find(fingerprint: string): Suspicion | undefined {
    return this.#suspicions.get(fingerprint);
  }

  /**
   * Finds a request's status.
   *
   * @param fingerprint - fingerprint of the request
   * @returns `cleared` also for a request that was never suspect
   */
  findStatus(fingerprint: string): SuspicionStatus {
    return this.#suspicions.get(fingerprint)?.status ??
      SUSPICION_STATUS.cleared;
  }

  /**
   * Counts the requests of a status.
   *
   * @param status - status to count
   * @returns number of requests
   */
  count(status: SuspicionStatus): number {
    return this.list().filter((suspicion) => suspicion.status === status)
      .length;
  }

  /**
   * Lists all suspicions.
   *
   * @returns cleared ones included, in the order of their last change
   */
  list(): readonly Suspicion[] {
    return [...this.#suspicions.values()];
  }

  #decide(suspicion: Suspicion, nowMs: number): Suspicion {
    const isDecided = suspicion.status === SUSPICION_STATUS.suspect &&
      countCrashes(suspicion.runs) >= this.#countNeeded(suspicion, nowMs) &&
      this.#computeHoldEndMs(suspicion, nowMs) === undefined;
    return isDecided
      ? { ...suspicion, status: SUSPICION_STATUS.quarantined }
      : suspicion;
  }

  #computeHoldEndMs(suspicion: Suspicion, nowMs: number): number | undefined {
    const { status, runs } = suspicion;
    const needed = this.#countNeeded(suspicion, nowMs);
    const isBunched = status === SUSPICION_STATUS.suspect &&
      countCrashes(runs) >= needed && countDistantCrashes(runs) < needed;
    const endMs = CONFIRMATION_MS +
      Math.max(...runs.map(({ crashedAtMs }) => crashedAtMs));
    return isBunched && nowMs < endMs ? endMs : undefined;
  }

  #countNeeded({ runs }: Suspicion, nowMs: number): number {
    const servers = runs.map(({ server }) => server);
    const isAmidOthers = this.#hasOtherCrash(servers, nowMs) ||
      runs.some(({ wasAmidOthers }) => wasAmidOthers === true);
    const needed = isAmidOthers
      ? CRASHES_TO_QUARANTINE_AMID_OTHERS
      : CRASHES_TO_QUARANTINE;
    const isWeak = runs.every(({ wasGivenUp }) => wasGivenUp === true);
    return isWeak ? needed + MORE_CRASHES_IF_GIVEN_UP : needed;
  }

  #hasOtherCrash(servers: readonly string[], nowMs: number): boolean {
    return [...this.#crashedAtMs].some(([server, atMs]) =>
      nowMs - atMs <= OTHER_CRASH_MS && !servers.includes(server)
    );
  }

  #put(suspicion: Suspicion, nowMs: number): void {
    const { fingerprint } = suspicion;
    this.#remove(fingerprint);
    this.#suspicions.set(fingerprint, suspicion);
    this.#changedAtMs.set(fingerprint, nowMs);
    const holdEndMs = this.#computeHoldEndMs(suspicion, nowMs);
    if (holdEndMs !== undefined) {
      this.#heldUntilMs.set(fingerprint, holdEndMs);
    }
    this.#activeCount += isActive(suspicion) ? 1 : 0;
    if (this.#suspicions.size > MAX_SUSPICIONS) {
      this.#evictOne();
    }
    for (const listener of this.#listeners) {
      listener(suspicion);
    }
  }

  #evictOne(): void {
    const evicted = this.#findOldest(SUSPICION_STATUS.cleared) ??
      this.#findOldest(SUSPICION_STATUS.suspect) ??
      this.#findOldest(SUSPICION_STATUS.quarantined);
    if (evicted !== undefined) {
      this.#remove(evicted);
    }
  }

  #remove(fingerprint: string): void {
    const known = this.#suspicions.get(fingerprint);
    if (known !== undefined) {
      this.#activeCount -= isActive(known) ? 1 : 0;
      this.#suspicions.delete(fingerprint);
      this.#changedAtMs.delete(fingerprint);
      this.#heldUntilMs.delete(fingerprint);
    }
  }

  #findOldest(status: SuspicionStatus): string | undefined {
    for (const [fingerprint, suspicion] of this.#suspicions) {
      if (suspicion.status === status) {
        return fingerprint;
      }
    }
    return undefined;
  }
}

function isActive({ status }: Suspicion): boolean {
  return status !== SUSPICION_STATUS.cleared;
}
