/** Chooses free ports for addresses that are configured with port 0. */

import { type AddressInfo, createServer } from "node:net";

import type { SocketAddress } from "@limpetford/domain/vm";

/**
 * Replaces port 0 by a free port. Another process may take the port before it
 * is bound.
 *
 * @param address - configured address
 * @returns the same address, with a port other than 0
 */
export async function resolvePort(
  address: SocketAddress,
): Promise<SocketAddress> {
  if (address.port !== 0) {
    return address;
  }
  const server = createServer();
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, address.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return { host: address.host, port };
}
