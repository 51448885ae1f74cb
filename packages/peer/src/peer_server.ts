/** The gRPC server of a VM, at which each component registers its service. */

import {
  Server,
  type ServiceDefinition,
  type UntypedServiceImplementation,
} from "@grpc/grpc-js";
import type { SocketAddress } from "@limpetford/domain/vm";
import { formatAddress } from "@limpetford/domain/vm";

import { buildServerCredentials, type PeerTls } from "./peer_tls.ts";

const KEEPALIVE_INTERVAL_MS = 2_000;
const KEEPALIVE_TIMEOUT_MS = 2_000;

/**
 * Listens for gRPC calls from the other VMs.
 */
export class PeerServer {
  readonly #server = new Server({
    "grpc.keepalive_time_ms": KEEPALIVE_INTERVAL_MS,
    "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
    "grpc.keepalive_permit_without_calls": 1,
  });

  /**
   * Adds a service. Must be called before {@link bind}.
   *
   * @param definition - generated definition of the service
   * @param handlers - one handler per method of the service
   */
  register(
    definition: ServiceDefinition,
    handlers: UntypedServiceImplementation,
  ): void {
    this.#server.addService(definition, handlers);
  }

  /**
   * Starts to listen.
   *
   * @param address - address to listen on; port 0 selects a free port
   * @param tls - certificates; undefined for plain text
   * @returns the address with the port in use
   */
  async bind(
    address: SocketAddress,
    tls: PeerTls | undefined,
  ): Promise<SocketAddress> {
    return await new Promise((resolve, reject) => {
      this.#server.bindAsync(
        formatAddress(address),
        buildServerCredentials(tls),
        (error, port) => {
          if (error === null) {
            resolve({ host: address.host, port });
          } else {
            reject(error);
          }
        },
      );
    });
  }

  /** Stops listening and closes all connections without draining them. */
  close(): void {
    this.#server.forceShutdown();
  }
}
