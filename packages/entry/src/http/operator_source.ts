/** Contract between the operator server and the VM. */

import type { KeyHash } from "@limpetford/domain/ids";

import type { RequestExplanation } from "../serving/request_explanations.ts";

/**
 * Documents and commands of a VM for operators. Every document can be written
 * as JSON.
 */
export abstract class OperatorSource {
  /**
   * Describes this VM.
   *
   * @returns identity, readiness and load of the VM
   */
  abstract describeStatus(): unknown;

  /**
   * Describes a service as this VM sees it.
   *
   * @param name - name of the service
   * @returns its servers and their routing; undefined if it is not configured
   */
  abstract describeService(name: string): unknown;

  /**
   * Explains how a recent request was served.
   *
   * @param id - identifier of the request
   * @returns the explanation; undefined if this VM keeps no record of it
   */
  abstract explain(id: string): RequestExplanation | undefined;

  /**
   * Withdraws API keys immediately on this VM, and on all others by gossip.
   *
   * @param keys - SHA-256 hashes of the keys
   */
  abstract withdrawKeys(keys: readonly KeyHash[]): void;

  /**
   * Lists the requests that are quarantined because they crashed servers.
   *
   * @returns fingerprints of the requests
   */
  abstract listQuarantined(): readonly string[];

  /**
   * Releases a quarantined request on this VM, and on all others by gossip.
   *
   * @param fingerprint - fingerprint of the request
   * @returns true if it was quarantined
   */
  abstract withdrawQuarantine(fingerprint: string): boolean;
}
