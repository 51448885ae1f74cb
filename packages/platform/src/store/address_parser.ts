/** Parses socket addresses. */

import { isIPv4 } from "node:net";

import type { SocketAddress } from "@limpetford/domain/vm";

const MAX_PORT = 65_535;

/**
 * Parses an IPv4 address and a port.
 *
 * @param text - `IP:PORT`
 * @returns the address, or undefined if the text has another form
 */
export function parseAddress(text: string): SocketAddress | undefined {
  const colon = text.lastIndexOf(":");
  const host = text.slice(0, colon);
  const digits = text.slice(colon + 1);
  const port = Number(digits);
  const isPort = /^[0-9]{1,5}$/.test(digits) && port > 0 && port <= MAX_PORT;
  return isPort && isIPv4(host) ? { host, port } : undefined;
}
