/** Describes a load balancer to operators. */

import type { Balancer } from "./service_balancers.ts";

/**
 * Describes what a load balancer believes of its servers.
 *
 * @param service - load balancer of one service
 * @param nowMs - monotonic time, in milliseconds
 * @returns plain data for the operators' interface
 */
export function describeBalancer(service: Balancer, nowMs: number): unknown {
  return {
    grayShare: service.grayShare,
    waiting: service.waitingCount,
    servers: service.listServers().map((server) => ({
      id: server.announced.id,
      load: server.load,
      failure: server.estimateFailureProbability(service.grayShare, nowMs),
    })),
  };
}
