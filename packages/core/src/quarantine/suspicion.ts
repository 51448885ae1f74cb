/** What the VMs know of a request that may crash servers. */

/** Status of a request that was in flight when a server crashed. */
export const SUSPICION_STATUS = {
  /** A server has served it since, so it does not crash servers. */
  cleared: "cleared",
  /** It may have crashed servers and runs once at a time. */
  suspect: "suspect",
  /** It has crashed servers and does not run. */
  quarantined: "quarantined",
} as const;
/** One of the statuses in `SUSPICION_STATUS`. */
export type SuspicionStatus =
  typeof SUSPICION_STATUS[keyof typeof SUSPICION_STATUS];

/** A run of a request that the crash of a server ended. */
export interface CrashedRun {
  /** Tells this run from others, whichever VM passes it on. */
  readonly id: string;
  readonly server: string;
  /** Time from the dispatch to the crash, in milliseconds. */
  readonly ranMs: number;
  /** Monotonic time of the crash, in milliseconds. */
  readonly crashedAtMs: number;
  /**
   * True if the server certainly ran after the dispatch, since it accepted a new
   * connection for it; absent in records of earlier versions.
   */
  readonly wasServerRunning?: boolean | undefined;
  /**
   * True if its VM had given it up before the crash, so that the server may have
   * stopped work on it; absent in records of earlier versions.
   */
  readonly wasGivenUp?: boolean | undefined;
  /**
   * True if servers that had not run the request crashed shortly before, as far as
   * the VM of this run knows; absent in records of earlier versions. A VM that
   * learns of the run may have been down then.
   */
  readonly wasAmidOthers?: boolean | undefined;
}

/** Knowledge about one request, replicated between the VMs. */
export interface Suspicion {
  /** Equal for equal requests of a team. */
  readonly fingerprint: string;
  /** Number of times that the request was cleared. */
  readonly generation: number;
  readonly status: SuspicionStatus;
  /** Crashed runs since it was cleared. */
  readonly runs: readonly CrashedRun[];
}

/** Runs kept of one request; more than a quarantine needs. */
const MAX_RUNS = 8;
/**
 * Servers that fail together, such as those of one rack, are noticed within
 * this time. A run that was sent earlier after a crash is no further evidence,
 * unless its server is known to have been running then.
 */
const SAME_CRASH_WINDOW_MS = 200;
/**
 * A server that has crashed takes no request sooner, since it has to start again.
 * A run there that seems to have been sent sooner ended with the same crash, of
 * which its VM's news came late.
 */
const SERVER_RESTART_MS = 1_000;

/**
 * Merges what two VMs know of one request. Commutative, associative and
 * idempotent, so that VMs agree in whichever order they exchange it.
 *
 * @param a - knowledge of one VM
 * @param b - knowledge of another VM about the same request
 * @returns the knowledge of both
 */
export function mergeSuspicions(a: Suspicion, b: Suspicion): Suspicion {
  if (a.generation !== b.generation) {
    return a.generation > b.generation ? a : b;
  }
  const runs = mergeRuns(a.runs, b.runs);
  const status = toStatusRank(a.status) >= toStatusRank(b.status)
    ? a.status
    : b.status;
  return { ...a, status, runs };
}

/**
 * Compares what is known of one request, but for the times of its runs.
 *
 * @param a - knowledge about a request
 * @param b - other knowledge about the same request
 * @returns true if both say the same
 */
export function isSameSuspicion(a: Suspicion, b: Suspicion): boolean {
  return a.generation === b.generation && a.status === b.status &&
    a.runs.length === b.runs.length &&
    a.runs.every(({ id }) => b.runs.some((other) => other.id === id));
}

/**
 * Counts the separate crashes of a request's runs. Servers that crash together
 * count once.
 *
 * @param runs - crashed runs in any order
 * @returns number of crashes, at least 1 if there is a run
 */
export function countCrashes(runs: readonly CrashedRun[]): number {
  return countSeparate(runs, isSeparate);
}

/**
 * Counts the crashes of a request's runs that are too far apart to belong to
 * one failure of several servers, such as those of one rack, even if these go
 * down one after the other.
 *
 * @param runs - crashed runs in any order
 * @returns number of crashes, at least 1 if there is a run
 */
export function countDistantCrashes(runs: readonly CrashedRun[]): number {
  return countSeparate(runs, isDistant);
}

function countSeparate(
  runs: readonly CrashedRun[],
  isCounted: (run: CrashedRun, lastCrashAtMs: number) => boolean,
): number {
  let count = 0;
  let lastCrashAtMs = -Infinity;
  for (const run of resolveCrashTimes(runs)) {
    if (isCounted(run, lastCrashAtMs)) {
      count += 1;
      lastCrashAtMs = run.crashedAtMs;
    }
  }
  return count;
}

// Dates all runs that one crash of a server ended by the first news of it.
function resolveCrashTimes(runs: readonly CrashedRun[]): readonly CrashedRun[] {
  const crashedAtMsByServer = new Map<string, number>();
  return [...runs].sort(compareRuns).map((run) => {
    const knownAtMs = crashedAtMsByServer.get(run.server);
    const sentAtMs = run.crashedAtMs - run.ranMs;
    if (knownAtMs !== undefined && sentAtMs <= knownAtMs + SERVER_RESTART_MS) {
      return { ...run, crashedAtMs: knownAtMs };
    }
    crashedAtMsByServer.set(run.server, run.crashedAtMs);
    return run;
  }).sort(compareRuns);
}

// Runs are identified by `id`, since the time of a run that was passed on differs
// by the time of the messages.
function mergeRuns(
  a: readonly CrashedRun[],
  b: readonly CrashedRun[],
): readonly CrashedRun[] {
  const known = new Set(a.map(({ id }) => id));
  const added = b.filter(({ id }) => !known.has(id));
  return added.length === 0
    ? a
    : [...a, ...added].sort(compareRuns).slice(0, MAX_RUNS);
}

function compareRuns(a: CrashedRun, b: CrashedRun): number {
  return a.crashedAtMs - b.crashedAtMs || (a.id < b.id ? -1 : 1);
}

// How long a run took proves nothing: a busy VM notices late that the server of an
// open connection has died.
function isSeparate(run: CrashedRun, lastCrashAtMs: number): boolean {
  const isProven = run.wasServerRunning === true &&
    run.crashedAtMs - run.ranMs > lastCrashAtMs;
  return isProven || isDistant(run, lastCrashAtMs);
}

function isDistant(
  { ranMs, crashedAtMs }: CrashedRun,
  lastCrashAtMs: number,
): boolean {
  return crashedAtMs - ranMs > lastCrashAtMs + SAME_CRASH_WINDOW_MS;
}

// Within a generation a status only rises.
function toStatusRank(status: SuspicionStatus): number {
  switch (status) {
    case "cleared":
      return 0;
    case "suspect":
      return 1;
    case "quarantined":
      return 2;
  }
}
