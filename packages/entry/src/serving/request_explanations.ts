/** Records how recent requests were served, for operators. */

import type { AttemptSample } from "../ports/server_router.ts";
import type { Refusal } from "./refusal.ts";

const DEFAULT_CAPACITY = 4_096;
const MAX_RECORDED_ATTEMPTS = 8;

/** One attempt, as shown to operators. */
export interface ExplainedAttempt {
  readonly server: string;
  readonly outcome: string;
  readonly firstByteMs: number | undefined;
  readonly totalMs: number;
}

/** A request, as shown to operators; contains no API key and no target. */
export interface RequestExplanation {
  readonly id: string;
  /** Wall-clock time of arrival, in milliseconds since 1970. */
  readonly arrivedAtWallMs: number;
  readonly route: string | undefined;
  readonly team: string | undefined;
  /** True if another VM forwarded the request to this one. */
  readonly isPassedOn: boolean;
  /** Decision of the idempotency ledger, on routes that are not idempotent. */
  readonly claim: string | undefined;
  readonly attempts: readonly ExplainedAttempt[];
  /** Address of the VM that the request was forwarded to. */
  readonly passedOnTo: string | undefined;
  readonly status: number | undefined;
  readonly refusal: Refusal | undefined;
  readonly durationMs: number | undefined;
}

/**
 * Collects how one request is served, while it is in flight.
 */
export class RequestRecord {
  readonly id: string;
  readonly arrivedAtWallMs: number;
  route: string | undefined;
  team: string | undefined;
  isPassedOn = false;
  claim: string | undefined;
  passedOnTo: string | undefined;
  status: number | undefined;
  refusal: Refusal | undefined;
  durationMs: number | undefined;
  #attempts: ExplainedAttempt[] | undefined;

  /**
   * Starts the record of one request.
   *
   * @param id - identifier of the request
   * @param arrivedAtWallMs - wall-clock time of arrival, in milliseconds
   */
  constructor(id: string, arrivedAtWallMs: number) {
    this.id = id;
    this.arrivedAtWallMs = arrivedAtWallMs;
  }

  /**
   * Adds an attempt that has ended. Attempts beyond `MAX_RECORDED_ATTEMPTS` are
   * left out.
   *
   * @param server - name of the backend server
   * @param sample - outcome and durations of the attempt
   */
  addAttempt(server: string, sample: AttemptSample): void {
    this.#attempts ??= [];
    if (this.#attempts.length < MAX_RECORDED_ATTEMPTS) {
      const { outcome, firstByteMs, totalMs } = sample;
      this.#attempts.push({ server, outcome, firstByteMs, totalMs });
    }
  }

  /**
   * Describes the request for operators.
   *
   * @returns copy of the record; fields that are not known yet are undefined
   */
  explain(): RequestExplanation {
    return {
      id: this.id,
      arrivedAtWallMs: this.arrivedAtWallMs,
      route: this.route,
      team: this.team,
      isPassedOn: this.isPassedOn,
      claim: this.claim,
      attempts: this.#attempts ?? [],
      passedOnTo: this.passedOnTo,
      status: this.status,
      refusal: this.refusal,
      durationMs: this.durationMs,
    };
  }
}

/**
 * Ring buffer of the records of the most recent requests.
 */
export class RequestExplanations {
  readonly #capacity: number;
  readonly #ring: RequestRecord[] = [];
  readonly #byId = new Map<string, RequestRecord>();
  #nextIndex = 0;

  /**
   * Starts with an empty buffer.
   *
   * @param capacity - maximum number of records; default 4,096
   */
  constructor(capacity = DEFAULT_CAPACITY) {
    this.#capacity = capacity;
  }

  /**
   * Adds a record and evicts the oldest one if the buffer is full.
   *
   * @param record - record of a request that has just arrived
   */
  add(record: RequestRecord): void {
    const evicted = this.#ring[this.#nextIndex];
    if (evicted !== undefined && this.#byId.get(evicted.id) === evicted) {
      this.#byId.delete(evicted.id);
    }
    this.#ring[this.#nextIndex] = record;
    this.#byId.set(record.id, record);
    this.#nextIndex = (this.#nextIndex + 1) % this.#capacity;
  }

  /**
   * Finds a recent request.
   *
   * @param id - identifier of the request
   * @returns the explanation; undefined if the record is not in the buffer
   */
  find(id: string): RequestExplanation | undefined {
    return this.#byId.get(id)?.explain();
  }
}
