/** What is known of each VM's links to the backend servers. */

import type { ServiceId, VmId } from "@limpetford/domain/ids";

/** Time for which a report of a VM's links counts. */
const REPORT_VALID_MS = 3_000;
/** Time for which a VM that reached servers counts as one that does. */
const REACHED_VALID_MS = 3_000;

/** Whether a VM reaches the backend servers. */
export const REACH = {
  /**
   * It has lost no service, and has had an answer or a connection lately, and since
   * any other VM lost a service.
   */
  confirmed: "confirmed",
  unknown: "unknown",
  /** It can connect to no server of one service or more. */
  lost: "lost",
} as const;
/** One of the states in `REACH`. */
export type Reach = typeof REACH[keyof typeof REACH];

/** What a VM says of its links; times are of the receiver's monotonic clock. */
export interface VmReachReport {
  /** Services to none of whose servers the VM can connect. */
  readonly lostServices: readonly ServiceId[];
  /** When it last had an answer or a connection; -Infinity if never. */
  readonly reachedAtMs: number;
  /** When this was true. */
  readonly knownAtMs: number;
}

/** Keeps the latest report of each VM. */
export class VmReachTable {
  readonly #reports = new Map<VmId, VmReachReport>();
  /** When each VM that has lost a service said so first. */
  readonly #lostSinceMs = new Map<VmId, number>();

  /**
   * Records a report unless a later one of the VM is known.
   *
   * @param vm - the VM
   * @param report - what it says, or what another VM has heard from it
   */
  record(vm: VmId, report: VmReachReport): void {
    const known = this.#reports.get(vm);
    if (known === undefined || known.knownAtMs <= report.knownAtMs) {
      this.#put(vm, report);
    }
  }

  /**
   * Replaces a VM's report by what the VM itself says. Its date is only known to
   * be no earlier, so it may seem older than one that came by another VM.
   *
   * @param vm - the VM
   * @param report - what it says
   */
  update(vm: VmId, report: VmReachReport): void {
    const knownAtMs = Math.max(
      report.knownAtMs,
      this.#reports.get(vm)?.knownAtMs ?? -Infinity,
    );
    this.#put(vm, { ...report, knownAtMs });
  }

  /**
   * Lists the reports that still count.
   *
   * @param nowMs - monotonic time
   * @returns each VM with its latest report
   */
  list(nowMs: number): readonly (readonly [VmId, VmReachReport])[] {
    return [...this.#reports].filter(([, report]) => isValid(report, nowMs));
  }

  /**
   * Finds whether a VM reaches the servers of all services.
   *
   * @param vm - the VM
   * @param nowMs - monotonic time
   * @returns `unknown` without a report that still counts
   */
  find(vm: VmId, nowMs: number): Reach {
    const report = this.#findValid(vm, nowMs);
    if (report === undefined) {
      return REACH.unknown;
    }
    if (report.lostServices.length > 0) {
      return REACH.lost;
    }
    // What it reached before may be lost to all VMs since.
    return report.reachedAtMs < this.#findLatestLossMs(nowMs)
      ? REACH.unknown
      : toReach(report.reachedAtMs, nowMs);
  }

  /**
   * Finds whether a VM reaches the servers of one service.
   *
   * @param vm - the VM
   * @param service - the service
   * @param nowMs - monotonic time
   * @returns `unknown` without a report that still counts
   */
  findForService(vm: VmId, service: ServiceId, nowMs: number): Reach {
    const report = this.#findValid(vm, nowMs);
    if (report === undefined) {
      return REACH.unknown;
    }
    return report.lostServices.includes(service)
      ? REACH.lost
      : toReach(report.reachedAtMs, nowMs);
  }

  /**
   * Checks whether any VM has lost a service.
   *
   * @param nowMs - monotonic time
   * @returns false while all VMs reach what they need, as far as is known
   */
  hasLost(nowMs: number): boolean {
    for (const [vm] of this.#reports) {
      if (this.find(vm, nowMs) === REACH.lost) {
        return true;
      }
    }
    return false;
  }

  #put(vm: VmId, report: VmReachReport): void {
    const lostSinceMs = this.#findValid(vm, report.knownAtMs) === undefined
      ? undefined
      : this.#lostSinceMs.get(vm);
    this.#reports.set(vm, report);
    if (report.lostServices.length > 0) {
      this.#lostSinceMs.set(vm, lostSinceMs ?? report.knownAtMs);
    } else {
      this.#lostSinceMs.delete(vm);
    }
  }

  #findLatestLossMs(nowMs: number): number {
    let latestMs = -Infinity;
    for (const [vm, lostSinceMs] of this.#lostSinceMs) {
      if (this.#findValid(vm, nowMs) !== undefined) {
        latestMs = Math.max(latestMs, lostSinceMs);
      }
    }
    return latestMs;
  }

  #findValid(vm: VmId, nowMs: number): VmReachReport | undefined {
    const report = this.#reports.get(vm);
    return report !== undefined && isValid(report, nowMs) ? report : undefined;
  }
}

function isValid({ knownAtMs }: VmReachReport, nowMs: number): boolean {
  return nowMs - knownAtMs <= REPORT_VALID_MS;
}

function toReach(reachedAtMs: number, nowMs: number): Reach {
  return nowMs - reachedAtMs <= REACHED_VALID_MS
    ? REACH.confirmed
    : REACH.unknown;
}
