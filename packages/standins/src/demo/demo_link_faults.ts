/** Injects one-way network partitions between VMs. */

import type { SocketAddress } from "@limpetford/domain/vm";
import { formatAddress } from "@limpetford/domain/vm";
import type { LinkDecision } from "@limpetford/peer/link_faults";
import { LinkFaults } from "@limpetford/peer/link_faults";

/**
 * Drops requests that one VM sends to selected peers. Requests from those peers
 * still arrive.
 */
export class DemoLinkFaults extends LinkFaults {
  readonly #cut = new Set<string>();

  override decide(to: SocketAddress): LinkDecision {
    return this.#cut.has(formatAddress(to)) ? "drop-request" : "pass";
  }

  /**
   * Starts dropping all requests to the given VMs.
   *
   * @param addresses - peer addresses of the unreachable VMs
   */
  dropRequestsTo(addresses: readonly SocketAddress[]): void {
    addresses.forEach((address) => this.#cut.add(formatAddress(address)));
  }

  /** Removes all faults. */
  clear(): void {
    this.#cut.clear();
  }
}
