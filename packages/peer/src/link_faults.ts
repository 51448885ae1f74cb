/** Fault injection on the links between VMs, for tests. */

import type { SocketAddress } from "@limpetford/domain/vm";

/** What happens to a call. */
export type LinkDecision =
  /** The call is made unchanged. */
  | "pass"
  /** The request never arrives. */
  | "drop-request"
  /** The request arrives and takes effect; its reply is lost. */
  | "drop-reply";

/**
 * Decides which calls between VMs are dropped.
 */
export abstract class LinkFaults {
  /**
   * Decides what happens to a call.
   *
   * @param to - peer address of the called VM
   * @returns whether the call passes, or which direction is dropped
   */
  abstract decide(to: SocketAddress): LinkDecision;
}

/**
 * Passes every call; the default.
 */
export class NoLinkFaults extends LinkFaults {
  override decide(): LinkDecision {
    return "pass";
  }
}
