/** Loopback addresses of one demo run, so that several runs can coexist. */

import type { Configuration } from "@limpetford/domain/configuration";
import type { SocketAddress } from "@limpetford/domain/vm";

import type { DemoProfile } from "./demo_profile.ts";

const PLATFORM_PORT = 8_700;
const PLATFORM_SUBNET_OCTET = 9;
const SAMPLE_SHEET_NETWORK = /^127\.0\./;

/** Number of loopback networks that a run tries before it gives up. */
export const NETWORK_COUNT = 32;

/**
 * The loopback network 127.n.0.0/16 of one run.
 */
export class DemoNetwork {
  readonly #secondOctet: number;

  /**
   * Selects a network.
   *
   * @param number - second octet of all IP addresses, from 0
   */
  constructor(number: number) {
    this.#secondOctet = number;
  }

  /**
   * Finds the address on which the platform stand-in listens.
   *
   * @param profile - deployment that the platform serves
   * @returns IP address and port
   */
  findPlatformAddress(profile: DemoProfile): SocketAddress {
    const host = `127.${this.#secondOctet}.${PLATFORM_SUBNET_OCTET}.` +
      String(profile.platformHostOctet);
    return { host, port: PLATFORM_PORT };
  }

  /**
   * Finds the IP address of an entry VM.
   *
   * @param profile - deployment of the VM
   * @param number - number of the VM, from 1
   * @returns IP address without a port
   */
  findVmHost(profile: DemoProfile, number: number): string {
    return `127.${this.#secondOctet}.${profile.vmSubnetOctet}.${number}`;
  }

  /**
   * Moves the backend servers of a sample sheet into this network.
   *
   * @param configuration - configuration with addresses in 127.0.0.0/16
   * @returns a copy whose servers have addresses in this network
   */
  convertAddresses(configuration: Configuration): Configuration {
    const servers = configuration.servers.map((server) => ({
      ...server,
      address: {
        ...server.address,
        host: server.address.host.replace(
          SAMPLE_SHEET_NETWORK,
          `127.${this.#secondOctet}.`,
        ),
      },
    }));
    return { ...configuration, servers };
  }
}
