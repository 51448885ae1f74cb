/** Observes the bytes of calls between VMs. */

import type { SocketAddress } from "@limpetford/domain/vm";

/** Receives the size of each call that this VM makes. */
export abstract class CallTraffic {
  /**
   * Records one call.
   *
   * @param to - address of the other VM
   * @param purpose - what the call is for
   * @param bytes - size of both messages with their heads, as estimated
   */
  abstract recordCall(to: SocketAddress, purpose: string, bytes: number): void;
}
