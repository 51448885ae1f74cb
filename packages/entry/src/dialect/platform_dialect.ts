/** The platform's HTTP interface to callers and backend servers. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

import { WeightedRoundRobin } from "@limpetford/core/fleet/weighted_round_robin";
import type { HostRoute } from "@limpetford/domain/host_route";
import { type RequestId, type TeamId, toId } from "@limpetford/domain/ids";
import { makeError, makeOk, type Result } from "@limpetford/domain/result";
import { ROUTE_ACCESS } from "@limpetford/domain/route";
import { FORWARDED_HEADER } from "@limpetford/peer/call_protocol";
import {
  buildServerHeaders,
  type CallerRequestHeaders,
  isSetByVm,
  parseCallerHeaders,
  parseServerResponse,
} from "@limpetford/platform/store/http_headers";

import type { FleetState } from "../fleet/fleet_state.ts";
import {
  type Arrival,
  estimateArrivalMs,
  estimateTimes,
  type RequestTimes,
  UNLIMITED_TIMES,
  type UnreadArrival,
} from "../serving/arrival.ts";
import type { ResponseHead } from "../serving/attempt_listener.ts";
import type { AttemptRequest } from "../serving/attempt_message.ts";
import { hashCallerKey, type PresentedKey } from "../serving/caller_key.ts";
import { type Refusal, refuseNotRun } from "../serving/refusal.ts";
import type { Admission } from "../serving/request_admission.ts";
import type { OutboundRequest } from "../serving/response_receiver.ts";
import {
  buildForwardedHeaders,
  FIRST_FAILED_STATUS,
  readForwardedResponse,
} from "./forwarded_messages.ts";
import {
  type ForwardingTerms,
  toForwardedResult,
} from "./forwarding_headers.ts";
import { isHopByHop, parseConnectionOptions } from "./header_names.ts";
import { countHeaderBytes } from "./header_size.ts";
import { computeTimeoutMs, parsePath } from "./host_route_timeout.ts";
import { refuseMalformedCall } from "./malformed_call.ts";
import { buildRefusalResponse, NOT_RUN_STATUSES } from "./platform_refusal.ts";
import {
  type AttemptDetails,
  type RefusalOptions,
  type RequestHead,
  type ResponseClassification,
  ServingDialect,
} from "./serving_dialect.ts";

/** Responses up to this size are buffered whole before they are forwarded. */
const BUFFERED_RESPONSE_BYTES = 65_536;
/** State and bounds of a {@link PlatformDialect}. */
export interface PlatformDialectOptions {
  readonly state: FleetState;
  /** Configuration age above which no key is accepted, in milliseconds. */
  readonly keysTrustedForMs: number;
}

/**
 * Routes requests by host and path, reads keys from a dedicated header, and
 * takes request identifiers from callers.
 */
export class PlatformDialect extends ServingDialect {
  override readonly bufferedResponseBytes = BUFFERED_RESPONSE_BYTES;
  readonly #state: FleetState;
  readonly #keysTrustedForMs: number;
  // Keyed by route object: a new configuration has new route objects, and so
  // starts new rotations.
  readonly #rotations = new WeakMap<HostRoute, WeightedRoundRobin>();

  /**
   * Creates the dialect.
   *
   * @param options - state of the fleet, and bounds
   */
  constructor(options: PlatformDialectOptions) {
    super();
    this.#state = options.state;
    this.#keysTrustedForMs = options.keysTrustedForMs;
  }

  override findRequestId(request: IncomingMessage): RequestId | undefined {
    const { requestId } = parseCallerHeaders(request.headers);
    return requestId === undefined ? undefined : toId<RequestId>(requestId);
  }

  override handleOwnRequest(): boolean {
    // The directory and the readiness check are served on other addresses.
    return false;
  }

  override admit(
    request: IncomingMessage,
    arrival: Arrival,
  ): Result<Admission, Refusal> {
    const configuration = this.#state.active?.configuration;
    if (configuration === undefined) {
      return makeError(refuseNotRun("no-configuration"));
    }
    if (!this.#state.mayServe()) {
      return makeError(refuseNotRun("vm-starting"));
    }
    const { headerBytes, bodyBytes } = configuration.callerLimits;
    if (countHeaderBytes(request.rawHeaders) > headerBytes) {
      return makeError(refuseNotRun("headers-too-large"));
    }
    if (Number(request.headers["content-length"] ?? 0) > bodyBytes) {
      return makeError(refuseNotRun("body-too-large"));
    }
    const target = request.url ?? "";
    if (!target.startsWith("/")) {
      return makeError(refuseNotRun("malformed-request"));
    }
    const head = parseCallerHeaders(request.headers);
    const route = this.#state.findHostRoute(head.host, parsePath(target));
    const { forwarding } = arrival;
    if (forwarding !== undefined) {
      return this.#admitForwarded(request, arrival, {
        route,
        head,
        forwarding,
      });
    }
    if (route === undefined) {
      return makeError(refuseNotRun("route-unknown"));
    }
    const key = this.#checkKey(route, head, configuration.hasTeams);
    if (!key.ok) {
      return key;
    }
    return makeOk({
      key: key.value,
      context: this.#buildContext(request, arrival, {
        route,
        head,
        team: key.value === undefined
          ? undefined
          : this.#state.findTeamOfKey(key.value.hash),
      }),
    });
  }

  override estimateTimes(
    request: RequestHead,
    arrival: UnreadArrival,
  ): RequestTimes {
    const head = parseCallerHeaders(request.headers);
    const path = parsePath(request.url ?? "");
    const route = this.#state.findHostRoute(head.host, path);
    return route === undefined
      ? UNLIMITED_TIMES
      : estimateTimes(arrival, computeTimeoutMs(route, head));
  }

  override isClaimed(): boolean {
    // Each request of a caller has its own identifier and reaches one VM, so
    // there is nothing to deduplicate.
    return false;
  }

  override selectRequestHeaders(rawHeaders: readonly string[]): string[] {
    const selected: string[] = [];
    const dropped = new Set<string>();
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
      const name = (rawHeaders[index] ?? "").toLowerCase();
      const value = rawHeaders[index + 1] ?? "";
      if (name === "connection") {
        parseConnectionOptions(value).forEach((option) => dropped.add(option));
      }
      const isForwarded = !isHopByHop(name) && !isSetByVm(name) &&
        name !== "content-length" && name !== "expect" &&
        name !== FORWARDED_HEADER;
      if (isForwarded) {
        selected.push(name, value);
      }
    }
    return selected.filter((_, index) =>
      !dropped.has(selected[index - index % 2] ?? "")
    );
  }

  override buildAttempt(
    request: OutboundRequest,
    details: AttemptDetails,
  ): AttemptRequest {
    const { context, body, mayDispatch } = request;
    const { method, target, id } = context;
    return {
      method,
      target,
      body,
      headers: [
        ...request.headers,
        ...buildServerHeaders({
          requestId: id,
          timeLeftMs: context.deadlineAtMs - details.nowMs,
          server: details.forwarding === undefined ? details.server : undefined,
          team: context.team,
        }),
        ...buildForwardedHeaders(
          context,
          details,
          this.#state.active?.configuration.version ?? -1,
        ),
      ],
      identity: {
        id,
        readId: readRequestId,
        isAlwaysNamed: details.forwarding === undefined,
      },
      // Another VM frames all that it sends.
      mayEndWithConnection: details.forwarding === undefined,
      isProven: ({ status, headers }) =>
        parseServerResponse(status, headers).isSigned,
      mayDispatch,
    };
  }

  override readResponse(
    { status, headers }: ResponseHead,
    isForwarded = false,
  ): ResponseClassification {
    const isPromise = NOT_RUN_STATUSES.has(status);
    if (isForwarded) {
      const forwarded = readForwardedResponse({ status, headers });
      return { ...forwarded, isFalsePromise: isPromise && !forwarded.isNotRun };
    }
    const { isNotRun, isSigned, notice, requestId } = parseServerResponse(
      status,
      headers,
    );
    const isFalsePromise = isPromise && !isNotRun;
    const isServed = status < FIRST_FAILED_STATUS && isSigned &&
      !isFalsePromise;
    return {
      outcome: isNotRun ? "shed" : isServed ? "served" : "failed",
      isNotRun,
      isFalsePromise,
      isIdentified: requestId !== undefined,
      notice,
    };
  }

  override listResponseHeaders(): readonly string[] {
    return [];
  }

  override sendRefusal(
    response: ServerResponse,
    refusal: Refusal,
    options: RefusalOptions,
  ): void {
    const { status, headers, body } = buildRefusalResponse(
      refusal,
      options.random,
    );
    if (options.isForwarded) {
      headers.push(FORWARDED_HEADER, toForwardedResult(refusal.outcome));
    }
    if (options.isLastOnConnection) {
      headers.push("connection", "close");
    }
    response.writeHead(status, headers);
    response.end(body);
  }

  override refuseMalformed(
    error: NodeJS.ErrnoException,
    socket: Duplex,
    isBusy: boolean,
  ): void {
    refuseMalformedCall(error, socket, isBusy);
  }

  // The other VM has checked the key and taken a token of the team.
  #admitForwarded(
    request: IncomingMessage,
    arrival: Arrival,
    { route, head, forwarding }: {
      readonly route: HostRoute | undefined;
      readonly head: CallerRequestHeaders;
      readonly forwarding: ForwardingTerms;
    },
  ): Result<Admission, Refusal> {
    const { service, team, version } = forwarding;
    const isBehind =
      (this.#state.active?.configuration.version ?? -1) < version;
    const isKnown =
      route?.targets.some((target) => target.service === service) === true &&
      (team === undefined || this.#state.findTeam(team) !== undefined);
    if (route === undefined || isBehind || !isKnown) {
      return makeError(refuseNotRun("configuration-stale"));
    }
    const parts = { route, head, team };
    const context = this.#buildContext(request, arrival, parts);
    return makeOk({ key: undefined, context });
  }

  #checkKey(
    route: HostRoute,
    head: CallerRequestHeaders,
    hasTeams: boolean,
  ): Result<PresentedKey | undefined, Refusal> {
    if (!hasTeams || route.access === ROUTE_ACCESS.open) {
      return makeOk(undefined);
    }
    if (head.secret === undefined) {
      return makeError(refuseNotRun("key-missing"));
    }
    // The key may have been revoked since the configuration was last confirmed
    // as the newest.
    if (this.#state.configurationAgeMs > this.#keysTrustedForMs) {
      return makeError(refuseNotRun("configuration-stale"));
    }
    const key = { secret: head.secret, hash: hashCallerKey(head.secret) };
    return this.#state.findTeamOfKey(key.hash) === undefined
      ? makeError(refuseNotRun("key-unknown"))
      : makeOk(key);
  }

  #buildContext(
    request: IncomingMessage,
    arrival: Arrival,
    parts: {
      readonly route: HostRoute;
      readonly head: CallerRequestHeaders;
      readonly team: TeamId | undefined;
    },
  ): Admission["context"] {
    const { route, head, team } = parts;
    const { receivedAtMs, forwarding } = arrival;
    const teamPriority = team === undefined
      ? undefined
      : this.#state.findTeam(team)?.priority;
    const timeoutMs = computeTimeoutMs(route, head);
    const arrivedAtMs = estimateArrivalMs(arrival, timeoutMs);
    return {
      id: arrival.id,
      route,
      team,
      method: request.method ?? "GET",
      host: head.host,
      target: request.url ?? "/",
      receivedAtMs,
      deadlineAtMs: arrivedAtMs + timeoutMs,
      isPassedOn: forwarding !== undefined,
      terms: {
        service: forwarding?.service ?? this.#takeService(route),
        priority: teamPriority ?? route.priority,
        targetAtMs: arrivedAtMs +
          (forwarding?.targetLeftMs ?? route.targetLatencyMs),
        maxAttempts: route.maxAttempts,
        attemptsBefore: forwarding?.attempts ?? 0,
        isCounted: forwarding?.isCounted ?? false,
      },
    };
  }

  #takeService(route: HostRoute): HostRoute["service"] {
    const known = this.#rotations.get(route);
    const rotation = known ?? new WeightedRoundRobin(route.targets);
    if (known === undefined) {
      this.#rotations.set(route, rotation);
    }
    return rotation.takeNext() ?? route.service;
  }
}

function readRequestId(headers: ResponseHead["headers"]): string | undefined {
  return parseServerResponse(0, headers).requestId;
}
