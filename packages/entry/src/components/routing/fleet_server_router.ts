/** Places requests of the serving path through the router of their service. */

import type { RoutingRequest } from "@limpetford/core/routing/routing_request";
import type { ServiceRouter } from "@limpetford/core/routing/service_router";
import type { Clock } from "@limpetford/core/time/clock";
import type { ServiceId } from "@limpetford/domain/ids";

import type { ConfigurationSource } from "../../ports/configuration_source.ts";
import {
  type FailedAttempt,
  type PlacementRequest,
  type PlacementVerdict,
  type RetryVerdict,
  ServerRouter,
} from "../../ports/server_router.ts";

/** Dependencies of a {@link FleetServerRouter}. */
export interface FleetServerRouterOptions {
  readonly clock: Clock;
  readonly configuration: ConfigurationSource;
  /** Finds the router of a service; creates it on first use. */
  readonly findRouter: (service: ServiceId) => ServiceRouter;
  /** Describes a service for operators; can be serialized as JSON. */
  readonly describeService: (service: ServiceId) => unknown;
  readonly listQuarantined: () => readonly string[];
  readonly withdrawQuarantine: (fingerprint: string) => boolean;
}

/**
 * Adapts the calls of the serving path to the {@link ServiceRouter} of the
 * requested service.
 */
export class FleetServerRouter extends ServerRouter {
  readonly #options: FleetServerRouterOptions;

  /**
   * Creates the adapter.
   *
   * @param options - clock, configuration and callbacks to the routers
   */
  constructor(options: FleetServerRouterOptions) {
    super();
    this.#options = options;
  }

  override acquire(request: PlacementRequest): Promise<PlacementVerdict> {
    const router = this.#findRouter(request);
    return new Promise((resolve) => {
      const handleAbort = (): void => {
        waiting.cancel();
        resolve({ kind: "overloaded", retryAfterMs: 0 });
      };
      const waiting = router.acquire(
        this.#buildRequest(request),
        (verdict) => {
          request.signal.removeEventListener("abort", handleAbort);
          resolve(
            verdict.kind === "placed"
              ? { kind: "placed", placement: verdict.lease }
              : verdict,
          );
        },
      );
      if (request.signal.aborted) {
        handleAbort();
      } else {
        request.signal.addEventListener("abort", handleAbort, { once: true });
      }
    });
  }

  override planRetry(attempt: FailedAttempt): RetryVerdict {
    const { context } = attempt.request;
    const nowMs = this.#options.clock.readMonotonicMs();
    return this.#findRouter(attempt.request).planRetry({
      team: context.team,
      isIdempotent: context.route.isIdempotent,
      isCertainlyNotRun: attempt.isCertainlyNotRun,
      attempts: attempt.request.attempt,
      timeLeftMs: context.deadlineAtMs - nowMs,
      isCancelled: attempt.sample.outcome === "cancelled",
    });
  }

  override planHedgeMs(request: PlacementRequest): number | undefined {
    return this.#findRouter(request).planHedgeMs(this.#buildRequest(request));
  }

  override describeService(service: ServiceId): unknown {
    return this.#options.describeService(service);
  }

  override listQuarantined(): readonly string[] {
    return this.#options.listQuarantined();
  }

  override withdrawQuarantine(fingerprint: string): boolean {
    return this.#options.withdrawQuarantine(fingerprint);
  }

  #findRouter(request: PlacementRequest): ServiceRouter {
    return this.#options.findRouter(request.context.route.service);
  }

  #buildRequest(request: PlacementRequest): RoutingRequest {
    const { context } = request;
    const { team } = context;
    const record = team === undefined
      ? undefined
      : this.#options.configuration.findTeam(team);
    return {
      get fingerprint() {
        return request.fingerprint;
      },
      route: context.route.id,
      team,
      weight: record?.weight ?? 1,
      isIdempotent: context.route.isIdempotent,
      deadlineAtMs: context.deadlineAtMs,
      tried: request.tried,
      attempt: request.attempt,
      isHedge: request.isHedge,
    };
  }
}
