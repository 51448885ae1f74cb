/** Interface of the components of a VM that run in the background. */

/**
 * A component that is started, drained and stopped with its VM.
 */
export abstract class VmComponent {
  /** Starts background work. */
  abstract start(): Promise<void>;

  /**
   * Prepares a planned stop: accepts no new work and hands over held state.
   * Requests in flight continue.
   */
  abstract drain(): Promise<void>;

  /** Stops all background work. */
  abstract stop(): Promise<void>;
}
