/** Grants requests to one backend server up to the rate limit that it names. */

const MS_PER_S = 1_000;
/** Time whose unused tokens are kept, beyond one. */
const BURST_S = 0.25;
/**
 * Least rate of requests to a server. They show when the limit ends, also for a
 * server that names a limit of 0.
 */
const MIN_REQUESTS_PER_SECOND = 0.25;
/** Factor by which the rate grows with a response that names no limit. */
const SLOW_START_FACTOR = 2;
/** Number of such responses in a row after which the limit has ended. */
const SLOW_START_STEPS = 4;

/**
 * Computes the rate at which requests are sent to a server with a limit.
 *
 * @param namedPerSecond - limit that the server names
 * @returns requests per second from all VMs together
 */
export function computeGrantRate(namedPerSecond: number): number {
  return Math.max(namedPerSecond, MIN_REQUESTS_PER_SECOND);
}

/**
 * Token bucket for the requests that all VMs together send to one server.
 *
 * Responses arrive out of order. One raises the rate only if its request was
 * granted after the rate last changed; it then was made later than the response
 * which set that rate. A response that names no limit doubles the rate instead
 * of lifting the limit at once (slow start), since other responses may still
 * name one.
 */
export class ServerLimitBucket {
  #namedPerSecond: number;
  #slowStartSteps = 0;
  #changedAtMs: number;
  // The first token accrues after the start: another VM may have granted until
  // just before.
  #tokens = 0;
  #updatedAtMs: number;

  /**
   * Starts without tokens.
   *
   * @param namedPerSecond - limit that the server names, requests per second
   * @param nowMs - monotonic time
   */
  constructor(namedPerSecond: number, nowMs: number) {
    this.#namedPerSecond = namedPerSecond;
    this.#changedAtMs = nowMs;
    this.#updatedAtMs = nowMs;
  }

  /**
   * Whether the server has stopped naming a limit.
   *
   * @returns true once requests no longer need a token
   */
  get hasEnded(): boolean {
    return this.#slowStartSteps >= SLOW_START_STEPS;
  }

  /**
   * Limit that the server named last.
   *
   * @returns requests per second
   */
  get namedPerSecond(): number {
    return this.#namedPerSecond;
  }

  /**
   * Takes a token for one request.
   *
   * @param share - share of the limit that this VM may grant, 0 to 1
   * @param nowMs - monotonic time
   * @returns 0 if granted, otherwise milliseconds until the next token; infinite
   * without a share
   */
  take(share: number, nowMs: number): number {
    this.#refill(share, nowMs);
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return 0;
    }
    return (1 - this.#tokens) * MS_PER_S / (this.#computeRate() * share);
  }

  /**
   * Observes a response that names a limit.
   *
   * @param namedPerSecond - the limit, requests per second
   * @param grantedAtMs - monotonic time at which this bucket granted its
   * request; undefined if it did not
   * @param nowMs - monotonic time
   */
  observeNamed(
    namedPerSecond: number,
    grantedAtMs: number | undefined,
    nowMs: number,
  ): void {
    const isHigher = namedPerSecond > this.#namedPerSecond;
    if (isHigher && !this.#isLaterThanChange(grantedAtMs)) {
      return;
    }
    this.#namedPerSecond = namedPerSecond;
    this.#slowStartSteps = 0;
    this.#changedAtMs = nowMs;
  }

  /**
   * Observes a response that names no limit.
   *
   * @param grantedAtMs - monotonic time at which this bucket granted its
   * request; undefined if it did not
   * @param nowMs - monotonic time
   */
  observeNone(grantedAtMs: number | undefined, nowMs: number): void {
    if (this.#isLaterThanChange(grantedAtMs)) {
      this.#slowStartSteps += 1;
      this.#changedAtMs = nowMs;
    }
  }

  #isLaterThanChange(grantedAtMs: number | undefined): boolean {
    return grantedAtMs !== undefined && grantedAtMs > this.#changedAtMs;
  }

  #refill(share: number, nowMs: number): void {
    const rate = this.#computeRate() * share;
    const capacity = 1 + rate * BURST_S;
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    this.#tokens = Math.min(
      capacity,
      this.#tokens + elapsedMs * rate / MS_PER_S,
    );
    this.#updatedAtMs = nowMs;
  }

  #computeRate(): number {
    return computeGrantRate(this.#namedPerSecond) *
      SLOW_START_FACTOR ** this.#slowStartSteps;
  }
}
