/** A delay that can be ended early. */

/**
 * Waits for a fixed time that another caller can cut short. Supports one wait
 * at a time.
 */
export class InterruptibleDelay {
  #finish: (() => void) | undefined;

  /**
   * Waits until the delay has passed or {@link abort} is called.
   *
   * @param delayMs - the delay in milliseconds
   */
  async wait(delayMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, delayMs);
      this.#finish = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.#finish = undefined;
  }

  /** Ends the running wait immediately; has no effect if none is running. */
  abort(): void {
    this.#finish?.();
  }
}
