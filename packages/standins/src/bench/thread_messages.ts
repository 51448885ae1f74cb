/** Messages between the benchmark and its worker threads. */

import type { SocketAddress } from "@limpetford/domain/vm";

/** Role of a worker thread: a backend server, or a VM in front of some. */
export type ThreadRole =
  | { readonly kind: "backend" }
  | {
    readonly kind: "vm";
    /** Addresses of the backend servers. */
    readonly backends: readonly SocketAddress[];
    /** VM that claimed requests are forwarded to; undefined to run them here. */
    readonly holder: SocketAddress | undefined;
  };

/** Message that asks a thread for its CPU time and core wait time. */
export const READ_CPU_TIME = "read-cpu-time";

/** Totals since the start of a thread, in milliseconds. */
export interface ThreadTimes {
  /** CPU time that the thread used. */
  readonly cpuTimeMs: number;
  /** Time that the thread was runnable while no core was free. */
  readonly coreWaitMs: number;
}

/** Message of a thread that has started to accept requests. */
export interface ThreadReady {
  readonly address: SocketAddress;
}
