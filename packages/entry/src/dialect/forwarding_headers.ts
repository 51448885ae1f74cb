/** Headers of a request that one VM forwards to another for its links. */

import { type ServiceId, type TeamId, toId } from "@limpetford/domain/ids";
import {
  REQUEST_OUTCOME,
  type RequestOutcome,
} from "@limpetford/domain/request_outcome";
import { FORWARDED_HEADER } from "@limpetford/peer/call_protocol";

/** What the response to a forwarded request is. */
export const FORWARDED_RESULT = {
  /** The response of a backend server. */
  answered: "answered",
  /** A refusal of the other VM; the request has not run there and will not. */
  notRun: "not-run",
  /** A refusal of the other VM; the request may have run. */
  unknown: "unknown",
} as const;
/** One of the results in `FORWARDED_RESULT`. */
export type ForwardedResult =
  typeof FORWARDED_RESULT[keyof typeof FORWARDED_RESULT];

/** What the first VM has decided on a request that it forwards. */
export interface ForwardingTerms {
  /** Service that the request goes to. */
  readonly service: ServiceId;
  /** Team whose rate limit has admitted the request; undefined without a key. */
  readonly team: TeamId | undefined;
  /** Attempts that may have reached backend servers. */
  readonly attempts: number;
  /** True if the retry budget counts the request already. */
  readonly isCounted: boolean;
  /** Version of the configuration that admitted the request. */
  readonly version: number;
  /** Time left until the target latency is exceeded, in milliseconds. */
  readonly targetLeftMs: number;
}

/**
 * Builds the header of a forwarded request.
 *
 * @param terms - what has been decided on it
 * @returns name and value
 */
export function buildForwardingHeader(terms: ForwardingTerms): string[] {
  return [FORWARDED_HEADER, encodeURIComponent(JSON.stringify(terms))];
}

/**
 * Parses the header of a forwarded request.
 *
 * @param value - value of the header
 * @returns the terms; undefined if it is absent or malformed
 */
export function parseForwardingHeader(
  value: string | string[] | undefined,
): ForwardingTerms | undefined {
  if (typeof value !== "string") {
    return undefined;
  }
  try {
    return parseTerms(JSON.parse(decodeURIComponent(value)));
  } catch {
    // The VM answers that the request is malformed.
    return undefined;
  }
}

/**
 * Parses the result in a response to a forwarded request.
 *
 * @param value - value of the header
 * @returns `unknown` for a response that does not say it
 */
export function parseForwardedResult(
  value: string | string[] | undefined,
): ForwardedResult {
  const known = Object.values(FORWARDED_RESULT).find((each) => each === value);
  return known ?? FORWARDED_RESULT.unknown;
}

/**
 * Converts the outcome of a refused request to the result of forwarding it.
 *
 * @param outcome - whether the request ran
 * @returns the result that the other VM is told
 */
export function toForwardedResult(outcome: RequestOutcome): ForwardedResult {
  return outcome === REQUEST_OUTCOME.notRun
    ? FORWARDED_RESULT.notRun
    : FORWARDED_RESULT.unknown;
}

function parseTerms(parsed: unknown): ForwardingTerms | undefined {
  if (typeof parsed !== "object" || parsed === null) {
    return undefined;
  }
  const { service, team, attempts, isCounted, version, targetLeftMs } =
    parsed as Readonly<Record<string, unknown>>;
  const isValid = typeof service === "string" &&
    (team === undefined || typeof team === "string") &&
    Number.isInteger(attempts) && typeof isCounted === "boolean" &&
    Number.isInteger(version) && Number.isFinite(targetLeftMs);
  return isValid
    ? {
      service: toId<ServiceId>(service),
      team: team === undefined ? undefined : toId<TeamId>(team),
      attempts: Number(attempts),
      isCounted,
      version: Number(version),
      targetLeftMs: Number(targetLeftMs),
    }
    : undefined;
}
