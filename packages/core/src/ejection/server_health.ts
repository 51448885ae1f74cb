/** Health of one backend server, driven by its state machine. */

import { type SnapshotFrom, transition } from "xstate";

import {
  INITIAL_SERVER_HEALTH,
  SERVER_HEALTH_MACHINE,
  type ServerHealthContext,
  type ServerHealthEvent,
} from "./server_health_machine.ts";

/** Name of a state of the server health machine. */
export type ServerHealthState = "healthy" | "ejected" | "trial" | "ramping";

/** Serializable health of a server, with times in monotonic milliseconds. */
export interface EncodedServerHealth {
  readonly state: ServerHealthState;
  readonly context: ServerHealthContext;
}

/**
 * Holds the snapshot of one server's state machine.
 */
export class ServerHealth {
  #snapshot: SnapshotFrom<typeof SERVER_HEALTH_MACHINE>;

  /**
   * Creates a healthy server, or restores one from an encoded state.
   *
   * @param encoded - state from the shard's previous holder. Default: healthy
   */
  constructor(encoded?: EncodedServerHealth) {
    this.#snapshot = SERVER_HEALTH_MACHINE.resolveState({
      value: encoded?.state ?? "healthy",
      context: encoded?.context ?? INITIAL_SERVER_HEALTH,
    });
  }

  /**
   * Applies an event to the state machine.
   *
   * @param event - event with its monotonic time
   * @returns true if the server has entered another state
   */
  apply(event: ServerHealthEvent): boolean {
    const before = this.#snapshot.value;
    if (event.type === "time-passed" && this.#hasNoEjections()) {
      return false;
    }
    const [next] = transition(
      SERVER_HEALTH_MACHINE,
      this.#snapshot,
      event,
    );
    this.#snapshot = next;
    return this.#snapshot.value !== before;
  }

  // Time changes nothing for a healthy server without past ejections.
  #hasNoEjections(): boolean {
    return this.#snapshot.value === "healthy" &&
      this.#snapshot.context.strikes === 0;
  }

  /**
   * Reads the current state.
   *
   * @returns name of the state
   */
  readState(): ServerHealthState {
    return this.#snapshot.value;
  }

  /**
   * Reads the context of the state machine.
   *
   * @returns times in monotonic milliseconds, counters and severity
   */
  readContext(): ServerHealthContext {
    return this.#snapshot.context;
  }
}
