/** Schedules calls to VMs that this VM does not hear from. */

const MIN_PAUSE_MS = 500;
const MAX_PAUSE_MS = 5_000;
const PAUSE_FACTOR = 2;

interface Contact {
  nextAtMs: number;
  pauseMs: number;
}

/**
 * Decides which silent address is called next. Without such calls, VMs that
 * have lost sight of each other could form groups that never meet again. The
 * pauses grow, since most addresses that stay silent belong to VMs that are
 * gone.
 */
export class ContactSchedule {
  readonly #contacts = new Map<string, Contact>();

  /**
   * Picks an address to call now, the one that is overdue most.
   *
   * @param silent - all addresses that this VM does not hear from; any other
   * address starts anew with a short pause
   * @param nowMs - monotonic time
   * @returns the address; undefined if no call is due
   */
  pickDue(silent: readonly string[], nowMs: number): string | undefined {
    this.#updateContacts(silent, nowMs);
    let picked: [string, Contact] | undefined;
    for (const entry of this.#contacts) {
      const [, { nextAtMs }] = entry;
      if (
        nextAtMs <= nowMs && nextAtMs < (picked?.[1].nextAtMs ?? Infinity)
      ) {
        picked = entry;
      }
    }
    if (picked === undefined) {
      return undefined;
    }
    const [address, contact] = picked;
    contact.nextAtMs = nowMs + contact.pauseMs;
    contact.pauseMs = Math.min(MAX_PAUSE_MS, contact.pauseMs * PAUSE_FACTOR);
    return address;
  }

  #updateContacts(silent: readonly string[], nowMs: number): void {
    const listed = new Set(silent);
    for (const address of this.#contacts.keys()) {
      if (!listed.has(address)) {
        this.#contacts.delete(address);
      }
    }
    for (const address of listed) {
      if (!this.#contacts.has(address)) {
        this.#contacts.set(address, { nextAtMs: nowMs, pauseMs: MIN_PAUSE_MS });
      }
    }
  }
}
