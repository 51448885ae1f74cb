/** Counts requests that have not ended. */

/** Counts the requests of a VM, for a drain that waits for their end. */
export class InFlightRequests {
  readonly #idleListeners: (() => void)[] = [];
  #count = 0;

  /**
   * Number of requests that have not ended.
   *
   * @returns number of requests
   */
  get count(): number {
    return this.#count;
  }

  /** Counts a request that begins. */
  add(): void {
    this.#count += 1;
  }

  /** Counts a request that has ended. */
  release(): void {
    this.#count -= 1;
    if (this.#count === 0) {
      this.#idleListeners.splice(0).forEach((listener) => {
        listener();
      });
    }
  }

  /** Waits until there is none. */
  async waitIdle(): Promise<void> {
    if (this.#count > 0) {
      await new Promise<void>((resolve) => {
        this.#idleListeners.push(resolve);
      });
    }
  }
}
