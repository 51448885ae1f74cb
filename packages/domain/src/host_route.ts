/** Routes that are matched by host and path, with weighted target services. */

import type { ServiceId } from "./ids.ts";
import type { Route } from "./route.ts";

/** A target service of a route and its traffic weight. */
export interface WeightedService {
  readonly service: ServiceId;
  /** Share of the route's traffic relative to its other target services. */
  readonly weight: number;
}

/** A route of one host with its targets, retry limit and priority. */
export interface HostRoute extends Route {
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Services that the route's traffic is split between; at least one. */
  readonly targets: readonly WeightedService[];
  /** Maximum number of backend servers that one request is sent to. */
  readonly maxAttempts: number;
  /** Response time in ms up to which a response is fully useful to callers. */
  readonly targetLatencyMs: number;
  /** Scheduling priority; 0 is the highest. */
  readonly priority: number;
}
