/** Evidence on one service's backend servers, recorded on one VM. */

import type { RouteId, ServerId } from "@limpetford/domain/ids";

import type { AttemptSample } from "./attempt_sample.ts";
import type { OutcomeCounts, RouteEvidence } from "./evidence_report.ts";
import { findLatencyBucket } from "./latency_sketch.ts";
import type { RouteReferences } from "./route_references.ts";

// Multiple of the route's 99th percentile from which a request is overdue.
const OVERDUE_FACTOR = 1.5;
const LARGE_RESPONSE_BYTES = 65_536;
const URGENT_REPORT_INTERVAL_MS = 40;
const MIN_REPORT_INTERVAL_MS = 200;
const ENTRY_BYTES = 24;
const EVIDENCE_BYTES_PER_SECOND = 1_000;
const MAX_ENTRIES_PER_REPORT = 64;

/** An attempt that is in flight. */
export interface RunningAttempt {
  readonly server: ServerId;
  readonly route: RouteId;
  readonly startedAtMs: number;
}

type MutableCounts = { -readonly [Key in keyof OutcomeCounts]: number };

interface PendingEvidence {
  readonly server: ServerId;
  readonly route: RouteId;
  readonly buckets: Map<number, number>;
  readonly outcomes: MutableCounts;
}

/** Evidence that the age of a running attempt has already given. */
interface Lateness {
  isLate: boolean;
  isOverdue: boolean;
}

/**
 * Records outcomes of attempts and ages of running ones, and reports them as
 * deltas.
 */
export class EvidenceRecorder {
  readonly #references: RouteReferences;
  readonly #running = new Map<RunningAttempt, Lateness>();
  #pending = new Map<string, PendingEvidence>();
  #isUrgent = false;
  #reportedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Creates a recorder without evidence.
   *
   * @param references - reference latencies of the routes
   */
  constructor(references: RouteReferences) {
    this.#references = references;
  }

  /**
   * Begins to track an attempt.
   *
   * @param attempt - server, route and time of dispatch
   */
  begin(attempt: RunningAttempt): void {
    this.#running.set(attempt, { isLate: false, isOverdue: false });
  }

  /**
   * Records the end of an attempt. Lateness that has been counted while it ran
   * is not counted again.
   *
   * @param attempt - attempt passed to {@link begin}
   * @param sample - outcome and timing of the attempt
   * @param isServerFault - false if a failure isn't the server's fault; it is
   *   not recorded then
   */
  complete(
    attempt: RunningAttempt,
    sample: AttemptSample,
    isServerFault: boolean,
  ): void {
    const lateness = this.#running.get(attempt);
    this.#running.delete(attempt);
    const wasCounted = lateness?.isLate ?? false;
    if (sample.outcome === "served") {
      this.#recordServed(attempt, sample, wasCounted);
    } else if (isServerFault) {
      this.#recordFailure(attempt, sample, lateness?.isOverdue ?? false);
    }
  }

  /**
   * Records the running requests that have become late or overdue.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns server of each request that has just become overdue
   */
  observeAges(nowMs: number): readonly ServerId[] {
    const overdue: ServerId[] = [];
    for (const [attempt, lateness] of this.#running) {
      const ageMs = nowMs - attempt.startedAtMs;
      const p99Ms = this.#references.findReference(attempt.route).p99Ms;
      if (!lateness.isLate && ageMs > p99Ms) {
        lateness.isLate = true;
        this.#findPendingEvidence(attempt).outcomes.late += 1;
        this.#isUrgent = true;
      }
      if (!lateness.isOverdue && ageMs > OVERDUE_FACTOR * p99Ms) {
        lateness.isOverdue = true;
        this.#findPendingEvidence(attempt).outcomes.overdue += 1;
        this.#isUrgent = true;
        overdue.push(attempt.server);
      }
    }
    return overdue;
  }

  /** Makes all pending evidence due at the next {@link takeDue}. */
  reportSoon(): void {
    this.#isUrgent = true;
    this.#reportedAtMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * Takes the evidence that is due to be sent, up to the size of a report.
   * Faults are due soon, other evidence as often as the limit on bytes per
   * second allows. Entries with the most faults go first.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns evidence per server and route since the last report; empty if none
   *   is due
   */
  takeDue(nowMs: number): readonly RouteEvidence[] {
    const interval = this.#isUrgent ? URGENT_REPORT_INTERVAL_MS : Math.max(
      MIN_REPORT_INTERVAL_MS,
      1_000 * ENTRY_BYTES * this.#pending.size / EVIDENCE_BYTES_PER_SECOND,
    );
    if (this.#pending.size === 0 || nowMs - this.#reportedAtMs < interval) {
      return [];
    }
    this.#reportedAtMs = nowMs;
    this.#isUrgent = false;
    const all = [...this.#pending.entries()].sort((a, b) =>
      sumFaults(b[1]) - sumFaults(a[1])
    );
    const sent = all.slice(0, MAX_ENTRIES_PER_REPORT);
    this.#pending = new Map(all.slice(MAX_ENTRIES_PER_REPORT));
    return sent.map(([, pending]) => buildEvidence(pending));
  }

  #recordServed(
    attempt: RunningAttempt,
    sample: AttemptSample,
    wasCounted: boolean,
  ): void {
    const latencyMs = computeLatencyMs(sample);
    this.#references.record(attempt.route, latencyMs);
    if (wasCounted) {
      return;
    }
    const pending = this.#findPendingEvidence(attempt);
    const bucket = findLatencyBucket(latencyMs);
    pending.buckets.set(bucket, (pending.buckets.get(bucket) ?? 0) + 1);
  }

  #recordFailure(
    attempt: RunningAttempt,
    sample: AttemptSample,
    wasOverdue: boolean,
  ): void {
    const name = findCountName(sample);
    if (name === undefined || wasOverdue) {
      return;
    }
    const reference = this.#references.findReference(attempt.route);
    if (name === "timedOut" && sample.totalMs < reference.p99Ms) {
      return;
    }
    this.#findPendingEvidence(attempt).outcomes[name] += 1;
    this.#isUrgent ||= name !== "shed";
  }

  #findPendingEvidence(attempt: RunningAttempt): PendingEvidence {
    const key = `${attempt.server}|${attempt.route}`;
    const known = this.#pending.get(key);
    if (known !== undefined) {
      return known;
    }
    const created: PendingEvidence = {
      server: attempt.server,
      route: attempt.route,
      buckets: new Map(),
      outcomes: {
        failed: 0,
        refused: 0,
        reset: 0,
        cut: 0,
        timedOut: 0,
        shed: 0,
        late: 0,
        overdue: 0,
      },
    };
    this.#pending.set(key, created);
    return created;
  }
}

/**
 * Computes the latency that is attributed to the server. For a large response
 * it is the time to the first byte, as the transfer time isn't the server's
 * fault.
 *
 * @param sample - sample of a served attempt
 * @returns latency in milliseconds
 */
export function computeLatencyMs(sample: AttemptSample): number {
  if (sample.answerBytes > LARGE_RESPONSE_BYTES) {
    return sample.firstByteMs ?? sample.totalMs;
  }
  return sample.totalMs;
}

function findCountName(sample: AttemptSample): keyof OutcomeCounts | undefined {
  switch (sample.outcome) {
    case "failed":
      return "failed";
    case "shed":
      return "shed";
    case "connect-failed":
      return "refused";
    case "reset-before-first-byte":
      return "reset";
    case "cut":
      return "cut";
    case "timed-out":
      return "timedOut";
    case "served":
    case "cancelled":
      return undefined;
  }
}

function sumFaults(pending: PendingEvidence): number {
  const counts = pending.outcomes;
  return counts.failed + counts.refused + counts.reset + counts.cut +
    counts.timedOut + counts.late + counts.overdue;
}

function buildEvidence(pending: PendingEvidence): RouteEvidence {
  return {
    server: pending.server,
    route: pending.route,
    latencies: [...pending.buckets].map(([bucket, count]) => ({
      bucket,
      count,
    })),
    outcomes: pending.outcomes,
  };
}
