/** Probes health endpoints of backend servers. */

import type { BackendServer } from "@limpetford/domain/service";
import { formatAddress } from "@limpetford/domain/vm";
import { request } from "undici";

const PROBE_TIMEOUT_MS = 1_000;
const FIRST_ERROR_STATUS = 400;

/**
 * Sends one request to a server's health endpoint. The result is only a hint:
 * the endpoint of a gray server may report that it is healthy.
 *
 * @param server - backend server to probe
 * @param path - path of the health endpoint
 * @returns true for a status below 400; false for an error, or no response
 *   within one second
 */
export async function probeHealth(
  server: BackendServer,
  path: string,
): Promise<boolean> {
  try {
    const response = await request(
      `http://${formatAddress(server.address)}${path}`,
      {
        headersTimeout: PROBE_TIMEOUT_MS,
        bodyTimeout: PROBE_TIMEOUT_MS,
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      },
    );
    await response.body.dump();
    return response.statusCode < FIRST_ERROR_STATUS;
  } catch {
    return false;
  }
}
