/** Tells which other builds of the program VMs of the fleet run. */

import type { SyncMessage } from "@limpetford/peer/fleet_sync";

import type { FleetLog } from "./fleet_log.ts";

/** Logged for a VM whose build is too old to say which it is. */
const UNSAID_BUILD = "none";

/** Logs each other build once, at its first VM. */
export class PeerBuilds {
  readonly #seen: Set<string>;
  readonly #log: FleetLog;

  /**
   * Creates a watch that has seen its own build only.
   *
   * @param own - build of this VM
   * @param log - receives a line for each other build
   */
  constructor(own: string, log: FleetLog) {
    this.#seen = new Set([own]);
    this.#log = log;
  }

  /**
   * Logs the build of a message's sender if no VM with it was seen before.
   *
   * @param message - message from another VM
   */
  observe({ from, build = UNSAID_BUILD }: SyncMessage): void {
    if (!this.#seen.has(build)) {
      this.#seen.add(build);
      this.#log.record("peer-build-differs", { peer: from, build });
    }
  }
}
