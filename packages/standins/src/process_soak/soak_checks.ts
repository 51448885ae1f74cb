/** What must hold of a fleet of processes, whatever fails. */

import type { CallerResponse } from "../platform/caller_client.ts";

/** Status codes that promise that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const STATUS_OK = 200;
const ANSWER_BODY = /^answer of i-\d+$/;

/** A request that a caller sent. */
export interface SentRequest {
  readonly id: string;
  readonly target: string;
  readonly isRepeatable: boolean;
  /** Undefined while there is none. */
  readonly answer: CallerResponse | undefined;
  /** As the answer's header says. */
  readonly answeredId: string | undefined;
}

/** A request that ran at a backend server. */
export interface RequestRun {
  readonly id: string;
  readonly target: string;
}

/** All that was seen from outside. */
export interface SoakRecord {
  readonly sent: readonly SentRequest[];
  readonly runs: readonly RequestRun[];
}

/**
 * Finds what must not happen.
 *
 * @param record - what was seen
 * @returns one line for each breach
 */
export function findBreaches(record: SoakRecord): readonly string[] {
  const runsById = countRuns(record.runs);
  const sentById = new Map(record.sent.map((sent) => [sent.id, sent]));
  const unasked = record.runs
    .filter(({ id, target }) => sentById.get(id)?.target !== target)
    .map(({ id, target }) => `${id} ${target} ran and was never sent`);
  const ofRequests = record.sent.flatMap((sent) =>
    findRequestBreaches(sent, runsById.get(sent.id) ?? 0)
  );
  return [...unasked, ...ofRequests];
}

function findRequestBreaches(
  sent: SentRequest,
  runCount: number,
): readonly string[] {
  const { id, answer, isRepeatable } = sent;
  const breaches: string[] = [];
  if (!isRepeatable && runCount > 1) {
    breaches.push(`${id} may not be repeated and ran ${runCount} times`);
  }
  if (answer === undefined) {
    return breaches;
  }
  if (!isRepeatable && NOT_RUN_STATUSES.has(answer.status) && runCount > 0) {
    breaches.push(`${id} got ${answer.status} and ran`);
  }
  if (answer.status === STATUS_OK) {
    if (sent.answeredId !== id) {
      breaches.push(`${id} got the answer of ${String(sent.answeredId)}`);
    }
    if (!ANSWER_BODY.test(answer.body)) {
      breaches.push(`${id} got a broken body: ${answer.body}`);
    }
    if (runCount === 0) {
      breaches.push(`${id} got 200 and never ran`);
    }
  }
  return breaches;
}

function countRuns(runs: readonly RequestRun[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { id } of runs) {
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}
