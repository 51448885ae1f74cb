/** Status line of the demo with request counters, updated every second. */

import type { DemoFleet } from "./demo_fleet.ts";

const PRINT_INTERVAL_MS = 1_000;

/**
 * Prints request rates and totals of the fleets. Overwrites the line on a
 * terminal; otherwise prints a new line each time.
 */
export class StatusLine {
  readonly #fleets: readonly DemoFleet[];
  readonly #previousRuns = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates a status line that is not yet printing.
   *
   * @param fleets - running fleets to report on
   */
  constructor(fleets: readonly DemoFleet[]) {
    this.#fleets = fleets;
  }

  /** Starts printing periodically. */
  start(): void {
    this.#timer = setInterval(() => {
      this.#print();
    }, PRINT_INTERVAL_MS);
  }

  /** Stops printing and ends the line. */
  stop(): void {
    clearInterval(this.#timer);
    process.stdout.write("\n");
  }

  #print(): void {
    const text = this.#fleets.map((fleet) => this.#describe(fleet)).join(" | ");
    process.stdout.write(
      process.stdout.isTTY ? `\r\x1b[K${text}` : `${text}\n`,
    );
  }

  #describe(fleet: DemoFleet): string {
    const { name } = fleet.profile;
    const runs = fleet.countRuns();
    const perSecond = runs - (this.#previousRuns.get(name) ?? 0);
    this.#previousRuns.set(name, runs);
    const appends = fleet.platform.store.countAppends();
    return `${name}: ${fleet.vms.size} VMs, ${perSecond} requests/s, ` +
      `${runs} run, ${appends} appends`;
  }
}
