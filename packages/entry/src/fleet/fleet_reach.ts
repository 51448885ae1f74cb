/** Tells the other VMs which services this VM has lost, and hears theirs. */

import {
  REACH,
  type VmReachReport,
} from "@limpetford/core/reach/vm_reach_table";
import type { Clock } from "@limpetford/core/time/clock";
import { type ServiceId, toId, type VmId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";
import type { SyncMessage, VmReachRow } from "@limpetford/peer/fleet_sync";

import {
  type ContainedExceptions,
  EXCEPTION_SOURCE,
} from "../telemetry/contained_exceptions.ts";
import type { FleetPeers } from "./fleet_peers.ts";
import type { ServerReachMonitor } from "./server_reach_monitor.ts";
import type { ServiceBalancers } from "./service_balancers.ts";

/** An answer that is older, or from before another VM's loss, does not spare this VM a check of its links. */
const CONFIRMED_FOR_MS = 1_000;
/** Least time between two such checks. */
const VERIFY_INTERVAL_MS = 1_000;
/**
 * Time after a check within which this VM does not take over as a leader, so that
 * it hears first which others could.
 */
const TAKEOVER_DELAY_MS = 200;

/** Dependencies of a {@link FleetReach}. */
export interface FleetReachOptions {
  readonly self: Vm;
  readonly peers: FleetPeers;
  readonly balancers: ServiceBalancers;
  readonly monitor: Pick<ServerReachMonitor, "verify">;
  readonly clock: Clock;
  /** Receives what a check of the links throws; the next one follows. */
  readonly exceptions: ContainedExceptions;
  /** Called when there is something to tell the other VMs. */
  readonly notifyChange: () => void;
}

/**
 * Keeps this VM's own report current, exchanges reports while any VM has lost a
 * service, and checks the links when this VM may have to take over.
 */
export class FleetReach {
  readonly #options: FleetReachOptions;
  #verifiedAtMs = -Infinity;
  #isVerifying = false;

  /**
   * Creates it; nothing is reported yet.
   *
   * @param options - balancers, table of reports and monitor
   */
  constructor(options: FleetReachOptions) {
    this.#options = options;
  }

  /** Records this VM's own report. */
  update(): void {
    const { self, peers, balancers, clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const isTakingOver = peers.ownLeaderSinceMs === undefined &&
      nowMs - this.#verifiedAtMs < TAKEOVER_DELAY_MS;
    const services = balancers.listByService();
    peers.reach.record(self.incarnation.vm, {
      lostServices: services.filter(([, { reach }]) => reach.isUnreachable)
        .map(([service]) => service),
      reachedAtMs: isTakingOver ? -Infinity : this.#readReachedAtMs(),
      knownAtMs: nowMs,
    });
  }

  /**
   * Lists the reports that other VMs need.
   *
   * @returns undefined while no VM is known to have lost a service
   */
  listRows(): readonly VmReachRow[] | undefined {
    const { peers, clock, self } = this.#options;
    this.update();
    const nowMs = clock.readMonotonicMs();
    if (!peers.reach.hasLost(nowMs)) {
      return undefined;
    }
    return peers.reach.list(nowMs).map(([vm, report]) => ({
      vm,
      lostServices: report.lostServices,
      reachedAgeMs: toAge(
        nowMs,
        vm === self.incarnation.vm
          ? this.#readReachedAtMs()
          : report.reachedAtMs,
      ),
      ageMs: Math.round(nowMs - report.knownAtMs),
    }));
  }

  /**
   * Applies the reports in a message.
   *
   * @param message - sender, and reports of it and of others, if it has any
   * @param sentAtMs - monotonic time before which the message can't be built
   */
  applyRows(
    { from, reach }: Pick<SyncMessage, "from" | "reach">,
    sentAtMs: number,
  ): void {
    const { self, peers } = this.#options;
    for (const row of reach ?? []) {
      const vm = toId<VmId>(row.vm);
      const report = toReport(row, sentAtMs);
      if (vm === from) {
        peers.reach.update(vm, report);
      } else if (vm !== self.incarnation.vm) {
        peers.reach.record(vm, report);
      }
    }
    this.#verifyIfNeeded();
  }

  /** Checks the links, as this VM is about to serve callers; never rejects. */
  async verify(): Promise<void> {
    const { monitor, clock, exceptions } = this.#options;
    if (this.#isVerifying) {
      return;
    }
    this.#isVerifying = true;
    await exceptions.wait(EXCEPTION_SOURCE.timer, monitor.verify());
    this.#isVerifying = false;
    this.#verifiedAtMs = clock.readMonotonicMs();
    this.#notifyChange();
    setTimeout(() => {
      this.#notifyChange();
    }, TAKEOVER_DELAY_MS).unref();
  }

  #notifyChange(): void {
    const { exceptions, notifyChange } = this.#options;
    exceptions.run(EXCEPTION_SOURCE.timer, notifyChange);
  }

  // A VM without callers does not know whether it reaches servers. It finds out
  // when callers may be led to it.
  #verifyIfNeeded(): void {
    const { self, peers, clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const isConfirmed =
      peers.reach.find(self.incarnation.vm, nowMs) === REACH.confirmed &&
      nowMs - this.#readReachedAtMs() < CONFIRMED_FOR_MS;
    const isRecent = isConfirmed ||
      nowMs - this.#verifiedAtMs < VERIFY_INTERVAL_MS;
    if (isRecent || !peers.reach.hasLost(nowMs)) {
      return;
    }
    const leader = peers.chooseLeader(self.zone);
    const isLeaderLost = leader !== undefined &&
      peers.reach.find(leader.incarnation.vm, nowMs) === REACH.lost;
    if (isLeaderLost || peers.ownLeaderSinceMs !== undefined) {
      void this.verify();
    }
  }

  #readReachedAtMs(): number {
    return Math.max(
      -Infinity,
      ...this.#options.balancers.list().map(({ reach }) => reach.reachedAtMs),
    );
  }
}

function toReport(
  { lostServices, reachedAgeMs, ageMs }: VmReachRow,
  sentAtMs: number,
): VmReachReport {
  return {
    lostServices: lostServices.map((service) => toId<ServiceId>(service)),
    reachedAtMs: reachedAgeMs === null ? -Infinity : sentAtMs - reachedAgeMs,
    knownAtMs: sentAtMs - ageMs,
  };
}

function toAge(nowMs: number, atMs: number): number | null {
  return Number.isFinite(atMs) ? Math.round(nowMs - atMs) : null;
}
