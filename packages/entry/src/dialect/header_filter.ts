/** Filters the headers that are forwarded to backend servers and to callers. */

import { hasCallerKey } from "../serving/caller_key.ts";
import { isHopByHop, parseConnectionOptions } from "./header_names.ts";

// Headers with this prefix belong to limpetford and are never forwarded.
const OWN_PREFIX = "limpetford-";

// Headers that limpetford sets or consumes, whatever the caller sent.
const SET_BY_LIMPETFORD: ReadonlySet<string> = new Set([
  "authorization",
  "content-length",
  "expect",
  "request-timeout-ms",
  "traceparent",
]);

/**
 * Selects the caller's headers that are forwarded to a backend server. Drops
 * hop-by-hop headers, those that limpetford sets itself, and those that contain
 * the caller's key.
 *
 * @param rawHeaders - alternating names and values, as received
 * @param secret - the caller's key; undefined if it sent none
 * @returns alternating names in lower case and values
 */
export function selectRequestHeaders(
  rawHeaders: readonly string[],
  secret: string | undefined,
): string[] {
  const selected: string[] = [];
  let connectionOptions: readonly string[] | undefined;
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? "").toLowerCase();
    const value = rawHeaders[index + 1] ?? "";
    if (isHopByHop(name)) {
      if (name === "connection" && value.length > "keep-alive".length) {
        connectionOptions = [
          ...connectionOptions ?? [],
          ...parseConnectionOptions(value),
        ];
      }
      continue;
    }
    if (SET_BY_LIMPETFORD.has(name) || name.startsWith(OWN_PREFIX)) {
      continue;
    }
    if (secret !== undefined && hasKeyInHeader(name, value, secret)) {
      continue;
    }
    selected.push(name, value);
  }
  return connectionOptions === undefined
    ? selected
    : removeNames(selected, connectionOptions);
}

/**
 * Selects the headers of a backend server's response that are forwarded to the
 * caller. Drops hop-by-hop headers and limpetford's own.
 *
 * @param headers - values by name in lower case
 * @returns alternating names and values; a repeated header is listed repeatedly
 */
export function selectResponseHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): string[] {
  const selected: string[] = [];
  const connection = headers["connection"];
  for (const name in headers) {
    if (isHopByHop(name) || name.startsWith(OWN_PREFIX)) {
      continue;
    }
    const value = headers[name];
    if (typeof value === "string") {
      selected.push(name, value);
    } else if (value !== undefined) {
      for (const single of value) {
        selected.push(name, single);
      }
    }
  }
  return typeof connection === "string" &&
      connection.length > "keep-alive".length
    ? removeNames(selected, parseConnectionOptions(connection))
    : selected;
}

function hasKeyInHeader(name: string, value: string, secret: string): boolean {
  return hasCallerKey(value, secret) || name.includes(secret.toLowerCase());
}

function removeNames(
  headers: readonly string[],
  names: readonly string[],
): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? "";
    if (!names.includes(name)) {
      kept.push(name, headers[index + 1] ?? "");
    }
  }
  return kept;
}
