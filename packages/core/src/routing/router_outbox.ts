/** Messages from a router to the holder of its service's shard. */

import type {
  CrashReport,
  PermitVerdict,
} from "../quarantine/suspect_arbiter.ts";

/** Reply to a permit request; `no-holder` if the holder is unreachable. */
export type PermitReply = PermitVerdict | "no-holder";

/**
 * Sends a router's messages about suspect requests, which may have crashed a
 * server. A suspect runs only by permit of the holder.
 */
export abstract class RouterOutbox {
  /**
   * Reports that a server crashed while a request was in flight.
   *
   * @param notice - fingerprint of the request, the server and this VM
   */
  abstract sendCrash(notice: CrashReport): void;

  /**
   * Requests a permit to run a suspect.
   *
   * @param fingerprint - fingerprint of the suspect
   * @param deliver - called once with the reply
   */
  abstract fetchPermit(
    fingerprint: string,
    deliver: (reply: PermitReply) => void,
  ): void;

  /**
   * Reports that a permitted run has ended without a crash.
   *
   * @param fingerprint - fingerprint of the suspect
   * @param hasServed - true if the server answered it
   */
  abstract releasePermit(fingerprint: string, hasServed: boolean): void;
}
