/** Metrics of one run of a scenario. */

/** Requests of one team from the onset of the first fault on. */
export interface TeamResult {
  readonly team: string;
  readonly sent: number;
  readonly served: number;
  /** 99th percentile latency of served requests, in milliseconds. */
  readonly p99Ms: number;
}

/** Sample of a run at one point in time. */
export interface TimelinePoint {
  readonly atMs: number;
  /** Smallest share of slots that any VM keeps in rotation. */
  readonly capacity: number;
  /** Servers excluded by every VM that callers use. */
  readonly leftOutByAll: readonly string[];
  /** Servers excluded by at least one VM that callers use. */
  readonly leftOutBySome: readonly string[];
  /** 99th percentile latency over the last second, in milliseconds. */
  readonly p99Ms: number;
}

/** Metrics of one run, with its timeline. */
export interface RunResult {
  readonly policy: string;
  readonly seed: number;
  /** Time to the ejection of each gray server; undefined if never ejected. */
  readonly detectionMs: readonly (number | undefined)[];
  /** Unjustified ejections, averaged over the VMs that callers use. */
  readonly falseEjections: number;
  /** Number of servers times the duration of the run. */
  readonly serverHours: number;
  /** Smallest share of slots that any VM kept in rotation. */
  readonly leastCapacity: number;
  readonly teams: readonly TeamResult[];
  /** Requests refused although their team was within its rate. */
  readonly wrongfulRefusals: number;
  /** Requests whose team was within its rate. */
  readonly withinRate: number;
  readonly firstAttempts: number;
  /** Retries and hedges. */
  readonly extraAttempts: number;
  /** Attempts that were queued because all slots of the server were taken. */
  readonly slotOverruns: number;
  /** Slot time taken by probes, in milliseconds. */
  readonly probeCostMs: number;
  readonly controlBytesPerVmSecond: number;
  readonly crashedServers: number;
  readonly timeline: readonly TimelinePoint[];
}
