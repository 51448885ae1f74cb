/** Limits the memory that open requests and connections of one VM hold. */

/** Part of the heap that open requests and connections may hold. */
const HELD_HEAP_SHARE = 0.4;

/**
 * Computes how much open requests and connections may hold, so that the rest of
 * the heap is left to the state of the fleet and to garbage.
 *
 * @param heapLimitBytes - size up to which the heap of the process may grow
 * @returns limit for a {@link MemoryBudget}, in bytes
 */
export function computeHeldLimitBytes(heapLimitBytes: number): number {
  return Math.floor(heapLimitBytes * HELD_HEAP_SHARE);
}

/**
 * Adds up what is held. New requests are admitted only within the limit. What
 * is already on its way, such as responses, may exceed it.
 */
export class MemoryBudget {
  /** Maximum sum of reserved bytes. */
  readonly limitBytes: number;
  #heldBytes = 0;

  /**
   * Starts with nothing held.
   *
   * @param limitBytes - maximum sum of reserved bytes
   */
  constructor(limitBytes: number) {
    this.limitBytes = limitBytes;
  }

  /**
   * Memory that is held at the moment.
   *
   * @returns bytes
   */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /**
   * Whether more is held than the limit allows.
   *
   * @returns true if what can be given back early should be
   */
  get isExceeded(): boolean {
    return this.#heldBytes > this.limitBytes;
  }

  /**
   * Reserves memory within the limit.
   *
   * @param bytes - number of bytes
   * @returns false if the limit would be exceeded; nothing is reserved then
   */
  reserve(bytes: number): boolean {
    if (this.#heldBytes + bytes > this.limitBytes) {
      return false;
    }
    this.#heldBytes += bytes;
    return true;
  }

  /**
   * Counts memory that is held in any case.
   *
   * @param bytes - number of bytes
   */
  add(bytes: number): void {
    this.#heldBytes += bytes;
  }

  /**
   * Releases memory that was reserved or added.
   *
   * @param bytes - number of bytes
   */
  release(bytes: number): void {
    this.#heldBytes -= bytes;
  }
}

/** What one request holds of a {@link MemoryBudget}. */
export class MemoryShare {
  readonly #budget: MemoryBudget;
  #heldBytes = 0;
  #isClosed = false;

  /**
   * Opens a share that holds nothing.
   *
   * @param budget - budget of the VM
   */
  constructor(budget: MemoryBudget) {
    this.#budget = budget;
  }

  /**
   * Whether the VM holds more than its limit allows.
   *
   * @returns true if what can be given back early should be
   */
  get isBudgetExceeded(): boolean {
    return this.#budget.isExceeded;
  }

  /**
   * Reserves memory within the limit of the VM.
   *
   * @param bytes - number of bytes
   * @returns false if the limit would be exceeded; nothing is reserved then
   */
  reserve(bytes: number): boolean {
    const isReserved = !this.#isClosed && this.#budget.reserve(bytes);
    this.#heldBytes += isReserved ? bytes : 0;
    return isReserved;
  }

  /**
   * Counts memory that is held in any case.
   *
   * @param bytes - number of bytes; negative to release some
   */
  add(bytes: number): void {
    if (!this.#isClosed) {
      this.#budget.add(bytes);
      this.#heldBytes += bytes;
    }
  }

  /** Releases everything; the share counts nothing from then on. */
  close(): void {
    this.#isClosed = true;
    this.#budget.release(this.#heldBytes);
    this.#heldBytes = 0;
  }
}
