/** Returns the same VM addresses to all callers. */

import type { SocketAddress } from "@limpetford/domain/vm";

import { type EntryList, EntrySelector } from "../ports/entry_selector.ts";

const DEFAULT_VALID_FOR_MS = 5_000;

/**
 * Returns one list of addresses for every team and service.
 */
export class SimpleEntrySelector extends EntrySelector {
  readonly #readAddresses: () => readonly SocketAddress[];
  readonly #validForMs: number;

  /**
   * Creates the selector.
   *
   * @param readAddresses - reads the caller addresses of the VMs, in order
   * @param validForMs - how long callers may keep the list; default 5,000
   */
  constructor(
    readAddresses: () => readonly SocketAddress[],
    validForMs = DEFAULT_VALID_FOR_MS,
  ) {
    super();
    this.#readAddresses = readAddresses;
    this.#validForMs = validForMs;
  }

  override listEntries(): EntryList {
    return { addresses: this.#readAddresses(), validForMs: this.#validForMs };
  }
}
