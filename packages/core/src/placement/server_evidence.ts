/** Evidence on backend servers that the VMs share. */

import type { ServerId } from "@limpetford/domain/ids";

import type { Evidence } from "./gray_failure_estimator.ts";

/** Outcome of a request, as it is shared with the other VMs. */
export interface ServerEvidence {
  readonly server: ServerId;
  readonly evidence: Evidence;
  /** True if the network link may be at fault rather than the server. */
  readonly isLinkFailure: boolean;
}
