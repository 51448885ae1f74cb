/** Admission of a request by its target, API key, route and deadline. */

import type { IncomingMessage } from "node:http";

import type { TeamId } from "@limpetford/domain/ids";
import { REQUEST_OUTCOME } from "@limpetford/domain/request_outcome";
import { makeError, makeOk, type Result } from "@limpetford/domain/result";
import { type Route, ROUTE_ACCESS } from "@limpetford/domain/route";

import { HEADER } from "../dialect/header_names.ts";
import type { RequestHead } from "../dialect/serving_dialect.ts";
import type { ConfigurationSource } from "../ports/configuration_source.ts";
import type { RequestContext } from "../ports/request_context.ts";
import {
  type Arrival,
  estimateArrivalMs,
  estimateTimes,
  type RequestTimes,
  UNLIMITED_TIMES,
  type UnreadArrival,
} from "./arrival.ts";
import {
  hasCallerKey,
  parseCallerKey,
  type PresentedKey,
} from "./caller_key.ts";
import { type Refusal, refuseNotRun } from "./refusal.ts";

const HOST = "host";
const CONTINUE_PATTERN = /^100-continue$/i;
const TIMEOUT_PATTERN = /^[1-9][0-9]{0,8}$/;

/** An admitted request. */
export interface Admission {
  readonly context: RequestContext;
  readonly key: PresentedKey | undefined;
}

/**
 * Checks the request line and headers against the active configuration.
 *
 * @param configuration - routes, teams and API keys
 * @param request - request whose body has not been read
 * @param arrival - identifier and arrival time
 * @returns the request's context and API key, or a refusal
 */
export function admitRequest(
  configuration: ConfigurationSource,
  request: IncomingMessage,
  arrival: Arrival,
): Result<Admission, Refusal> {
  const target = request.url ?? "";
  if (!target.startsWith("/")) {
    return refuseMalformed("The target must be a path");
  }
  if (countHostHeaders(request) !== 1 && request.httpVersion !== "1.0") {
    return refuseMalformed("There must be one Host header");
  }
  const expectation = request.headers.expect;
  if (expectation !== undefined && !CONTINUE_PATTERN.test(expectation)) {
    return refuseMalformed("The only expectation that is met is 100-continue");
  }
  if (!configuration.isInForce()) {
    return makeError(refuseNotRun("no-configuration"));
  }
  const method = request.method ?? "GET";
  const queryStart = target.indexOf("?");
  const path = queryStart < 0 ? target : target.slice(0, queryStart);
  const route = configuration.findRoute(method, path);
  if (route === undefined) {
    return makeError(refuseNotRun("route-unknown"));
  }
  const key = parseCallerKey(request.headers.authorization);
  const team = key === undefined
    ? undefined
    : configuration.findTeamOfKey(key.hash);
  if (team === undefined && !isPublicRoute(route)) {
    return makeError(
      refuseNotRun(key === undefined ? "key-missing" : "key-unknown"),
    );
  }
  const timeoutMs = parseTimeout(request.headers[HEADER.requestTimeoutMs]);
  if (timeoutMs === undefined) {
    return refuseMalformed("Request-Timeout-Ms must be a whole number above 0");
  }
  const cleanTarget = removeKeyFromTarget(target, key?.secret);
  if (cleanTarget === undefined) {
    return makeError(refuseNotRun("key-in-target"));
  }
  const context = buildContext(request, arrival, {
    route,
    team,
    target: cleanTarget,
    timeoutMs,
  });
  return makeOk({ context, key });
}

/**
 * Estimates the time in which a request can be served, before it is admitted.
 *
 * @param configuration - routes with their timeouts
 * @param request - request whose body has not been read
 * @param arrival - time of arrival
 * @returns the time; unlimited without a route or a valid timeout
 */
export function estimateRequestTimes(
  configuration: ConfigurationSource,
  request: RequestHead,
  arrival: UnreadArrival,
): RequestTimes {
  const [path = ""] = (request.url ?? "").split("?", 1);
  const route = configuration.findRoute(request.method ?? "GET", path);
  const givenMs = parseTimeout(request.headers[HEADER.requestTimeoutMs]);
  return route === undefined || givenMs === undefined
    ? UNLIMITED_TIMES
    : estimateTimes(arrival, Math.min(givenMs, route.deadlineMs));
}

/**
 * Removes query parameters that contain the API key.
 *
 * @param target - path and query
 * @param secret - API key, if the caller sent one
 * @returns the target without the key; undefined if the path contains it or it
 * cannot be removed
 */
export function removeKeyFromTarget(
  target: string,
  secret: string | undefined,
): string | undefined {
  if (secret === undefined || !hasCallerKey(target, secret)) {
    return target;
  }
  const queryStart = target.indexOf("?");
  const path = queryStart < 0 ? target : target.slice(0, queryStart);
  if (hasCallerKey(path, secret)) {
    return undefined;
  }
  const kept = target.slice(queryStart + 1).split("&").filter(
    (parameter) => !hasCallerKey(parameter, secret),
  );
  const cleaned = kept.length === 0 ? path : `${path}?${kept.join("&")}`;
  return hasCallerKey(cleaned, secret) ? undefined : cleaned;
}

/**
 * Checks whether a route serves requests without an API key. A route that is
 * not idempotent always needs one, since its requests are claimed under a team.
 *
 * @param route - route of the request
 * @returns true if no API key is needed
 */
export function isPublicRoute(route: Route): boolean {
  return route.access === ROUTE_ACCESS.open && route.isIdempotent;
}

interface ContextParts {
  readonly route: Route;
  readonly team: TeamId | undefined;
  readonly target: string;
  readonly timeoutMs: number;
}

function buildContext(
  request: IncomingMessage,
  arrival: Arrival,
  parts: ContextParts,
): RequestContext {
  const { route, team, target } = parts;
  const timeoutMs = Math.min(parts.timeoutMs, route.deadlineMs);
  return {
    id: arrival.id,
    route,
    team,
    method: request.method ?? "GET",
    target,
    receivedAtMs: arrival.receivedAtMs,
    deadlineAtMs: estimateArrivalMs(arrival, timeoutMs) + timeoutMs,
    isPassedOn: request.headers[HEADER.passedOn] !== undefined,
  };
}

function countHostHeaders(request: IncomingMessage): number {
  const { rawHeaders } = request;
  let count = 0;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index];
    if (name?.length === HOST.length && name.toLowerCase() === HOST) {
      count += 1;
    }
  }
  return count;
}

function parseTimeout(
  value: string | string[] | undefined,
): number | undefined {
  if (value === undefined) {
    return Infinity;
  }
  return typeof value === "string" && TIMEOUT_PATTERN.test(value)
    ? Number(value)
    : undefined;
}

function refuseMalformed(detail: string): Result<never, Refusal> {
  return makeError({
    kind: "malformed-request",
    outcome: REQUEST_OUTCOME.notRun,
    detail,
  });
}
