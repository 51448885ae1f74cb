/** Demand of this VM that the other leaders are known to have heard of. */

import type { TeamId, VmId } from "@limpetford/domain/ids";

import type { TeamDemand } from "./team_shares.ts";

/** Reports that are older do not count, even if nothing newer is confirmed. */
const REPORT_KEPT_MS = 10_000;

interface SentReport {
  readonly sentAtMs: number;
  readonly demand: TeamDemand;
}

interface ReceiverState {
  reports: SentReport[];
  confirmedAtMs: number;
}

/**
 * Follows which reports of its demand each other leader has received. A leader
 * may claim a share of a limit only for demand that all others count, or the
 * shares of leaders at which demand rises at once add up to more than one.
 */
export class ConfirmedDemand {
  readonly #receivers = new Map<VmId, ReceiverState>();

  /**
   * Records a report that is being sent.
   *
   * @param receiver - the other VM
   * @param demand - demand in the report
   * @param nowMs - monotonic time, which the receiver returns as confirmation
   */
  recordReport(receiver: VmId, demand: TeamDemand, nowMs: number): void {
    const state = this.#open(receiver);
    state.reports = state.reports.filter(({ sentAtMs }) =>
      nowMs - sentAtMs < REPORT_KEPT_MS
    );
    state.reports.push({ sentAtMs: nowMs, demand });
  }

  /**
   * Records which report another VM has applied.
   *
   * @param receiver - the other VM
   * @param sentAtMs - monotonic time of the report; undefined if it has none of
   * this process
   */
  recordConfirmation(receiver: VmId, sentAtMs: number | undefined): void {
    this.#open(receiver).confirmedAtMs = sentAtMs ?? -Infinity;
  }

  /**
   * Reads the rate of a team that all receivers count for this VM.
   *
   * @param team - the team
   * @param receivers - the other leaders
   * @returns requests per second: the least that any of them may have applied;
   * infinite without receivers
   */
  readRate(team: TeamId, receivers: readonly VmId[]): number {
    return Math.min(
      Infinity,
      ...receivers.map((receiver) => this.#readReceiverRate(team, receiver)),
    );
  }

  #readReceiverRate(team: TeamId, receiver: VmId): number {
    const state = this.#receivers.get(receiver);
    const isConfirmed = state?.reports.some(({ sentAtMs }) =>
      sentAtMs <= state.confirmedAtMs
    );
    if (state === undefined || isConfirmed !== true) {
      return 0;
    }
    // Later reports may have arrived without their confirmation.
    const confirmed = state.reports.findLast(({ sentAtMs }) =>
      sentAtMs <= state.confirmedAtMs
    );
    const possible = state.reports.filter((report) =>
      report === confirmed || report.sentAtMs > state.confirmedAtMs
    );
    return Math.min(...possible.map(({ demand }) => demand.get(team) ?? 0));
  }

  #open(receiver: VmId): ReceiverState {
    const known = this.#receivers.get(receiver);
    if (known !== undefined) {
      return known;
    }
    const created = { reports: [], confirmedAtMs: -Infinity };
    this.#receivers.set(receiver, created);
    return created;
  }
}
