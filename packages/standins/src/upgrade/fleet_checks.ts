/** Checks of what the whole fleet must do while it runs two builds. */

import {
  findRequestsAfterLeaving,
  type ReceivedFromVm,
} from "../process_soak/soak_checks.ts";

const STATUS_OK = 200;
const STATUS_UNAUTHORIZED = 401;
const MS_PER_S = 1_000;

/** Length of the windows in which a team's requests are counted. */
const TEAM_WINDOW_MS = 5_000;
/** What the users' rules allow in a window: this multiple of the limit ... */
const TEAM_FACTOR = 1.1;
/** ... and this number of requests more. */
const TEAM_EXTRA = 20;

/** Runs of a team with a rate limit. */
export interface TeamObservations {
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Wall-clock times at which its requests ran, in milliseconds. */
  readonly ranAtMs: readonly number[];
}

/**
 * Checks that a team stays within its rate over all VMs in every window.
 *
 * @param observations - limit and runs of the team
 * @returns a message for the window with most requests, if these are too many
 */
export function findTeamExcess(
  { ratePerSecond, burst, ranAtMs }: TeamObservations,
): readonly string[] {
  const most = Math.max(
    0,
    ...ranAtMs.map((first) =>
      ranAtMs.filter((atMs) => atMs >= first && atMs < first + TEAM_WINDOW_MS)
        .length
    ),
  );
  const allowed = TEAM_EXTRA +
    TEAM_FACTOR * (ratePerSecond * TEAM_WINDOW_MS / MS_PER_S + burst);
  return most > allowed
    ? [`a team had ${most} requests in 5 s, ${Math.floor(allowed)} allowed`]
    : [];
}

/** A request to one VM that shows whether a rule is in force there. */
export interface VmProbe {
  readonly vm: string;
  /** Name of the build that the VM runs. */
  readonly build: string;
  /** Wall-clock time of the sending, in milliseconds. */
  readonly atMs: number;
  /** Status of the answer; 0 without one. */
  readonly status: number;
  readonly body: string;
}

/** Time from the withdrawal of a key until no VM accepts it. */
const REVOCATION_MS = 5_000;
/** Time from a new configuration until it is in force at all VMs. */
const CONFIGURATION_MS = 2_000;

/** Probes around a configuration that withdraws one key and adds another. */
export interface KeyObservations {
  /** Wall-clock time of the configuration, in milliseconds. */
  readonly publishedAtMs: number;
  readonly withdrawnKey: readonly VmProbe[];
  readonly newKey: readonly VmProbe[];
}

/**
 * Checks that a key stops in time, and that a new one works in time.
 *
 * @param observations - probes with both keys
 * @returns a message for each late probe
 */
export function findLateKeys(
  { publishedAtMs, withdrawnKey, newKey }: KeyObservations,
): readonly string[] {
  const describeProbe = ({ vm, build, atMs }: VmProbe): string =>
    `${vm} (${build}) ${atMs - publishedAtMs} ms after the configuration`;
  const accepted = withdrawnKey.filter(({ atMs, status }) =>
    atMs > publishedAtMs + REVOCATION_MS && status === STATUS_OK
  );
  const refused = newKey.filter(({ atMs, status }) =>
    atMs > publishedAtMs + CONFIGURATION_MS && status === STATUS_UNAUTHORIZED
  );
  return [
    ...accepted.map((probe) =>
      `a withdrawn key was accepted by ${describeProbe(probe)}`
    ),
    ...refused.map((probe) =>
      `a new key was refused by ${describeProbe(probe)}`
    ),
  ];
}

/** Time from the announcement that a server leaves until it gets nothing. */
const DRAIN_MS = 2_000;

/** Requests to servers that leave. */
export interface LeavingObservations {
  /** At a server that says so in its answers, since it does. */
  readonly bySayingSo: readonly ReceivedFromVm[];
  /** Time until that server answers. */
  readonly processingMs: number;
  /** At a server whose announcement says so, since then. */
  readonly byAnnouncement: readonly ReceivedFromVm[];
  /** Wall-clock time of the announcement, in milliseconds. */
  readonly announcedAtMs: number;
}

/**
 * Checks that servers which leave are left alone.
 *
 * @param observations - what two such servers got
 * @returns a message for each request that came too late
 */
export function findSentToLeaving(
  observations: LeavingObservations,
): readonly string[] {
  const { bySayingSo, processingMs, byAnnouncement } = observations;
  const late = byAnnouncement.filter(({ atMs }) =>
    atMs > observations.announcedAtMs + DRAIN_MS
  );
  return [
    ...findRequestsAfterLeaving(bySayingSo, processingMs),
    ...late.map(({ vm, atMs }) =>
      `${vm} sent to a leaving server ` +
      `${atMs - observations.announcedAtMs} ms after its announcement`
    ),
  ];
}

/** Kind of the refusal of a quarantined request. */
const QUARANTINED = "quarantined";

/**
 * Checks that VMs of both builds refuse a request that has crashed servers.
 *
 * @param probes - that request, sent to each VM
 * @returns a message for each VM that doesn't
 */
export function findUnquarantined(
  probes: readonly VmProbe[],
): readonly string[] {
  return probes.filter(({ body }) => !body.includes(QUARANTINED)).map((
    { vm, build, status },
  ) => `${vm} (${build}) answered ${status} to a request that crashes servers`);
}

/** Runs at the end of an upgrade. */
export interface UseObservations {
  /** Identifiers of the servers that are well, and name no limit. */
  readonly servers: readonly string[];
  readonly runs: readonly {
    readonly server: string;
    readonly atMs: number;
  }[];
  /** Wall-clock time from which all of them must be in use again. */
  readonly fromMs: number;
  /** Wall-clock time of the end of the load. */
  readonly toMs: number;
}

/**
 * Checks that no good server is left out for good.
 *
 * @param observations - servers and runs
 * @returns a message for each server without a run
 */
export function findUnusedServers(
  { servers, runs, fromMs, toMs }: UseObservations,
): readonly string[] {
  const used = new Set(
    runs.filter(({ atMs }) => atMs >= fromMs && atMs <= toMs)
      .map(({ server }) => server),
  );
  return servers.filter((server) => !used.has(server)).map((server) =>
    `${server} got nothing in the last ${toMs - fromMs} ms of the load`
  );
}
