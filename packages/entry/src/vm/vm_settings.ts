/** Identity, addresses and limits of one VM. */

import type { Vm } from "@limpetford/domain/vm";
import type { SocketAddress } from "@limpetford/domain/vm";
import type { PeerTls } from "@limpetford/peer/peer_tls";

import type { CallerServerLimits } from "../http/caller_server_limits.ts";

/** PEM-encoded certificate and private key of the server for callers. */
export interface CallerTls {
  readonly certificate: Buffer;
  readonly privateKey: Buffer;
}

/** Validated settings of one VM. */
export interface VmSettings {
  /** Record of this VM; port 0 in an address takes a free port at start. */
  readonly self: Vm;
  /** Address of the server for operators; port 0 takes a free port. */
  readonly operatorAddress: SocketAddress;
  /** Callers connect with plain HTTP if absent. */
  readonly callerTls?: CallerTls;
  /** VMs connect to each other without TLS if absent. */
  readonly peerTls?: PeerTls;
  /** Limits of the server for callers; defaults apply if absent. */
  readonly callerLimits?: CallerServerLimits;
  /**
   * Maximum time for a graceful stop, in milliseconds. After it, requests in
   * flight are aborted.
   */
  readonly drainTimeoutMs: number;
}
