/** Schedule of this VM's health probes of ejected servers. */

import type { ServerId, VmId } from "@limpetford/domain/ids";

import { type EjectionDecision, SERVER_MODE } from "./ejection_decision.ts";

const FIRST_INTERVAL_MS = 2_000;
const MAX_INTERVAL_MS = 30_000;

/** Time for which one probe occupies a slot of its server, in milliseconds. */
export const PROBE_COST_MS = 25;

interface ProbeRecord {
  nextAtMs: number;
  intervalMs: number;
}

/**
 * Schedules probes of the servers for which the holder chose this VM as prober.
 */
export class ProbeSchedule {
  readonly #self: VmId;
  readonly #records = new Map<ServerId, ProbeRecord>();
  #sentCount = 0;

  /**
   * Creates an empty schedule.
   *
   * @param self - name of this VM
   */
  constructor(self: VmId) {
    this.#self = self;
  }

  /**
   * Takes the probes that are due. Intervals grow exponentially during an
   * ejection.
   *
   * @param decision - holder's current decision; undefined if there is none
   * @param nowMs - monotonic time in milliseconds
   * @returns servers to probe now
   */
  takeDue(
    decision: EjectionDecision | undefined,
    nowMs: number,
  ): readonly ServerId[] {
    const wanted = (decision?.servers ?? [])
      .filter((entry) =>
        entry.mode === SERVER_MODE.ejected &&
        entry.probers.includes(this.#self)
      )
      .map((entry) => entry.server);
    for (const server of [...this.#records.keys()]) {
      if (!wanted.includes(server)) {
        this.#records.delete(server);
      }
    }
    return wanted.filter((server) => this.#isDue(server, nowMs));
  }

  /**
   * Computes the slot time that all probes of this VM have cost.
   *
   * @returns total in milliseconds
   */
  computeCostMs(): number {
    return this.#sentCount * PROBE_COST_MS;
  }

  #isDue(server: ServerId, nowMs: number): boolean {
    const known = this.#records.get(server);
    const record = known ??
      { nextAtMs: nowMs + FIRST_INTERVAL_MS, intervalMs: FIRST_INTERVAL_MS };
    this.#records.set(server, record);
    if (nowMs < record.nextAtMs) {
      return false;
    }
    record.intervalMs = Math.min(MAX_INTERVAL_MS, record.intervalMs * 2);
    record.nextAtMs = nowMs + record.intervalMs;
    this.#sentCount += 1;
    return true;
  }
}
