/** States of backend servers, as VMs send them to each other. */

import type { AnnouncedServer } from "@limpetford/domain/announced_server";

import type { LogPosition } from "./log_position.ts";

/** Current state of a server, as VMs send it to each other. */
export interface ServerChange {
  /** Last announcement, also of a server that is gone. */
  readonly server: AnnouncedServer;
  /** True if the server is gone since that announcement. */
  readonly isGone: boolean;
  /** Position of the last record that changed the state. */
  readonly position: LogPosition;
  /** Time until a pending removal takes effect, in milliseconds. */
  readonly goneInMs?: number;
}

/** Changes that a receiver lacks, by revisions of sender and receiver. */
export interface ServerChanges {
  readonly changes: readonly ServerChange[];
  /** Revision of the sender up to which `changes` are complete. */
  readonly revision: number;
  /** True if the receiver then has all that the sender has. */
  readonly isComplete: boolean;
}
