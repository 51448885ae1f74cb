/** Sends requests as callers do that ask directories which VM to use. */

import type { CallerResponse } from "../platform/caller_client.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import type { FleetProcesses } from "./fleet_processes.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const KEY = "key-of-dance";
/** Directories that a caller asks in turn. */
const DIRECTORIES_ASKED = 3;
/** One in this many requests is a booking. */
const BOOKING_EVERY = 3;

/** Kinds of callers. */
export interface DirectoryCallers {
  /** Callers of each zone. */
  readonly perZone: number;
  readonly zones: readonly string[];
  /** Time for which a caller keeps an answer of a directory. */
  readonly keepAnswerMs: number;
  /** Share of the callers that ask once and never again, 0 to 1. */
  readonly loyalShare: number;
  /** Time between two requests of one caller. */
  readonly intervalMs: number;
}

/** First attempt of a caller's request, and its end. */
export interface FirstAttempt {
  readonly vm: VmProcessHandle;
  readonly path: string;
  readonly isBooking: boolean;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly response: CallerResponse;
}

/** Runs callers against a fleet until they are stopped. */
export class DirectoryLoad {
  readonly #fleet: FleetProcesses;
  readonly #callers: DirectoryCallers;
  readonly #attempts: FirstAttempt[] = [];
  readonly #running: Promise<void>[] = [];
  #count = 0;
  #isStopped = false;

  /**
   * Creates callers that send nothing yet.
   *
   * @param fleet - running fleet
   * @param callers - number and habits of the callers
   */
  constructor(fleet: FleetProcesses, callers: DirectoryCallers) {
    this.#fleet = fleet;
    this.#callers = callers;
  }

  /** Starts all callers. */
  start(): void {
    for (const zone of this.#callers.zones) {
      for (let index = 0; index < this.#callers.perZone; index++) {
        const isLoyal =
          index < this.#callers.perZone * this.#callers.loyalShare;
        this.#running.push(this.#runCaller(zone, index, isLoyal));
      }
    }
  }

  /**
   * Stops all callers and waits for their last responses.
   *
   * @returns all first attempts, in the order of their ends
   */
  async stop(): Promise<readonly FirstAttempt[]> {
    this.#isStopped = true;
    await Promise.all(this.#running);
    return this.#attempts;
  }

  async #runCaller(
    zone: string,
    index: number,
    isLoyal: boolean,
  ): Promise<void> {
    const { intervalMs, keepAnswerMs, perZone } = this.#callers;
    const sent: Promise<void>[] = [];
    let vms: readonly VmProcessHandle[] = [];
    let askedAtMs = -Infinity;
    await waitMs(intervalMs * index / perZone);
    while (!this.#isStopped) {
      const isOutdated = Date.now() - askedAtMs > keepAnswerMs;
      if (vms.length === 0 || (isOutdated && !isLoyal)) {
        const found = await this.#fetchAddresses(zone, index);
        vms = found.length === 0 ? vms : found;
        askedAtMs = Date.now();
      }
      const vm = vms[this.#count % Math.max(1, vms.length)];
      if (vm !== undefined) {
        sent.push(this.#sendOne(vm));
      }
      await waitMs(intervalMs);
    }
    await Promise.all(sent);
  }

  async #fetchAddresses(
    zone: string,
    index: number,
  ): Promise<readonly VmProcessHandle[]> {
    const near = this.#fleet.vms.filter((vm) => vm.zone === zone);
    for (let offset = 0; offset < DIRECTORIES_ASKED; offset++) {
      const directory = near[(index + offset) % near.length];
      const addresses = directory === undefined
        ? []
        : await this.#fleet.resolveAddresses(directory, zone);
      if (addresses.length > 0) {
        return addresses.flatMap((address) =>
          this.#fleet.findVm(address) ?? []
        );
      }
    }
    return [];
  }

  async #sendOne(vm: VmProcessHandle): Promise<void> {
    this.#count += 1;
    const isBooking = this.#count % BOOKING_EVERY === 0;
    const path = `/${isBooking ? "book" : "read"}/${this.#count}`;
    const sentAtMs = Date.now();
    const response = await this.#fleet.send(vm, {
      path,
      key: KEY,
      ...isBooking ? { method: "POST", body: "deposit" } : {},
    });
    this.#attempts.push({
      vm,
      path,
      isBooking,
      sentAtMs,
      endedAtMs: Date.now(),
      response,
    });
  }
}
