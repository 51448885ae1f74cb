/** What a router asks of the holder of its service's shard. */

import type {
  CrashReport,
  PermitVerdict,
} from "../quarantine/suspect_arbiter.ts";

/** Answer to a request for a permit; the holder may be out of reach. */
export type PermitReply = PermitVerdict | "no-holder";

/**
 * Carries a router's messages on suspect requests.
 */
export abstract class RouterOutbox {
  /**
   * Sends word of a crash with a request in flight.
   *
   * @param notice - the request and the server
   */
  abstract sendCrash(notice: CrashReport): void;

  /**
   * Asks for leave to run a suspect.
   *
   * @param fingerprint - the request
   * @param deliver - called once with the answer
   */
  abstract fetchPermit(
    fingerprint: string,
    deliver: (reply: PermitReply) => void,
  ): void;

  /**
   * Sends word that a permitted run has ended without a crash.
   *
   * @param fingerprint - the request
   * @param hasServed - true if the server answered it
   */
  abstract releasePermit(fingerprint: string, hasServed: boolean): void;
}
