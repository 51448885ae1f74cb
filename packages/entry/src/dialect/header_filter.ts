/** Which headers go on, to backend servers and back to callers. */

import { hasCallerKey } from "../serving/caller_key.ts";
import { isHopByHop, parseConnectionOptions } from "./header_names.ts";

const OWN_PREFIX = "limpetford-";

const SET_BY_LIMPETFORD: ReadonlySet<string> = new Set([
  "authorization",
  "content-length",
  "expect",
  "request-timeout-ms",
  "traceparent",
]);

/**
 * Selects the caller's headers that a backend server may see. Drops headers of
 * the connection, all that limpetford sets itself, and all that hold the key.
 *
 * @param rawHeaders - names and values in turn
 * @param secret - the caller's key, if it sent one
 * @returns names in lower case and values in turn
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
 * Selects the headers of a backend server's answer that a caller may see.
 *
 * @param headers - names in lower case and their values
 * @returns names and values in turn
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
