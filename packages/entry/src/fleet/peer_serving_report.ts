/** Load and evidence reported by another VM. */

import type { ServerEvidence } from "@limpetford/core/placement/server_evidence";

/** Decoded report of a VM that serves callers. */
export interface PeerServingReport {
  /** Requests that the VM has in flight, by backend server. */
  readonly loads: ReadonlyMap<string, number>;
  /** Outcomes of its requests, oldest first. */
  readonly evidence: readonly ServerEvidence[];
}
