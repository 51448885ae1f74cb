/** A backend server that announces itself on the store, for simulations. */

/** State of the server. */
export interface SimulatedServer {
  readonly id: string;
  sequence: number;
  isLeaving: boolean;
  isGone: boolean;
  nextHeartbeatMs: number;
}
