/** Data of a request that rate limiting, claims and routing decide on. */

import type { Clock } from "@limpetford/core/time/clock";
import type { RequestId, ServiceId, TeamId } from "@limpetford/domain/ids";
import type { Route } from "@limpetford/domain/route";

/** Service, priority and attempt limit that apply to a single request. */
export interface RequestTerms {
  /** Service chosen for this request among those that share the route. */
  readonly service: ServiceId;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic time at which the target latency is exceeded, in ms. */
  readonly targetAtMs: number;
  /** Maximum number of backend servers to which the request is sent. */
  readonly maxAttempts: number;
  /** Attempts of the VM that forwarded the request; none if absent. */
  readonly attemptsBefore?: number;
  /** True if that VM's retry budget counts the request already. */
  readonly isCounted?: boolean;
}

/** A request that has been authenticated and matched to a route. */
export interface RequestContext {
  readonly id: RequestId;
  readonly route: Route;
  /** Undefined on an open route without a key. */
  readonly team: TeamId | undefined;
  readonly method: string;
  /** Host that the route was matched by; absent if routes have no host. */
  readonly host?: string;
  /** Path and query of the URL, without the API key. */
  readonly target: string;
  /** Monotonic time of arrival, in milliseconds. */
  readonly receivedAtMs: number;
  /** Monotonic time of the deadline, in milliseconds. */
  readonly deadlineAtMs: number;
  /** True if another VM forwarded the request to this one. */
  readonly isPassedOn: boolean;
  /** Set if the configuration has priorities, target latencies and splits. */
  readonly terms?: RequestTerms;
}

/**
 * Checks whether a request's time is up. The timer of its deadline may not have run
 * yet in a VM that is behind.
 *
 * @param context - the admitted request
 * @param clock - tells the time
 * @returns true if nothing may be begun for it any more
 */
export function hasExpired(
  { deadlineAtMs }: RequestContext,
  clock: Clock,
): boolean {
  return deadlineAtMs <= clock.readMonotonicMs();
}
