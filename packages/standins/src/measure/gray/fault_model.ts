/** Assigns the faults of a scenario to servers, VMs and links. */

import type { SlotUser } from "@limpetford/core/routing/home_slots";
import type { ServerId } from "@limpetford/domain/ids";
import type { BackendServer } from "@limpetford/domain/service";

import { type Fault, isActive, type Scenario } from "./scenario.ts";

/** Kinds of fault that justify the ejection of the affected server. */
const GRAY_KINDS: readonly Fault["kind"][] = [
  "fail",
  "slow",
  "black-hole",
  "crash",
  "flapping",
  "cold-start",
  "crashing-request",
];

/** A fault and the servers that it affects. */
export interface PlacedFault {
  readonly fault: Fault;
  readonly servers: ReadonlySet<ServerId>;
  /** Index of the first affected VM, before reduction modulo the VM count. */
  readonly firstVm: number;
}

/** Period in which excluding a server is no false ejection. */
export interface GrayPeriod {
  readonly server: ServerId;
  readonly onsetMs: number;
  readonly endMs: number;
}

/** Time after the end of a fault in which a server may stay ejected. */
const RECOVERY_MS = 60_000;
/** Time after a restart in which a server may still be ejected. */
const CRASH_DETECTION_MS = 1_000;

/** Time for which a restarting server refuses connections. */
export const RESTART_MS = 1_500;

/**
 * Places the faults of a scenario on servers and VMs.
 */
export class FaultModel {
  readonly #placed: readonly PlacedFault[];
  readonly #scenario: Scenario;
  readonly #crashes: GrayPeriod[] = [];

  /**
   * Places each fault on servers of its own where there are enough.
   *
   * @param scenario - scenario whose faults are placed
   * @param servers - the service's servers
   * @param seed - offset of the first affected server and VM
   */
  constructor(
    scenario: Scenario,
    servers: readonly BackendServer[],
    seed: number,
  ) {
    this.#scenario = scenario;
    let next = seed;
    this.#placed = scenario.faults.map((fault) => {
      const count = "servers" in fault ? fault.servers : 0;
      const chosen = new Set<ServerId>();
      for (let index = 0; index < count; index += 1) {
        const server = servers[(next + 7 * index) % servers.length];
        if (server !== undefined) {
          chosen.add(server.id);
        }
      }
      next += 3;
      return { fault, servers: chosen, firstVm: seed };
    });
  }

  /**
   * Lists the active faults that affect a server.
   *
   * @param server - id of the server
   * @param nowMs - monotonic time in milliseconds
   * @returns active faults placed on the server
   */
  listServerFaults(server: ServerId, nowMs: number): readonly Fault[] {
    return this.#placed
      .filter((placed) =>
        placed.servers.has(server) && isActive(placed.fault, nowMs)
      )
      .map((placed) => placed.fault);
  }

  /**
   * Lists the active faults that are not placed on particular servers.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns active faults such as zone cuts or overload
   */
  listGlobalFaults(nowMs: number): readonly Fault[] {
    return this.#placed
      .filter((placed) =>
        placed.servers.size === 0 && isActive(placed.fault, nowMs)
      )
      .map((placed) => placed.fault);
  }

  /**
   * Lists all faults with their servers, active or not.
   *
   * @returns placed faults in the scenario's order
   */
  listPlaced(): readonly PlacedFault[] {
    return this.#placed;
  }

  /**
   * Describes the link between a VM and a server.
   *
   * @param vm - index and zone of the VM
   * @param server - server at the other end
   * @param nowMs - monotonic time in milliseconds
   * @returns "cut" if requests are lost, "answers-lost" if only responses are
   */
  describeLink(
    vm: { readonly index: number; readonly user: SlotUser },
    server: BackendServer,
    nowMs: number,
  ): "open" | "cut" | "answers-lost" {
    for (const placed of this.#placed) {
      if (!isActive(placed.fault, nowMs)) {
        continue;
      }
      const { fault } = placed;
      const isServer = placed.servers.has(server.id);
      if (fault.kind === "link-cut" && isServer) {
        const offset = (vm.index - placed.firstVm + 1_000 *
            this.#scenario.vms) % this.#scenario.vms;
        if (offset < fault.vms) {
          return "cut";
        }
      }
      if (
        fault.kind === "one-way-cut" && isServer &&
        vm.user.zone !== server.zone && vm.user.zone.endsWith("1")
      ) {
        return "answers-lost";
      }
      if (
        fault.kind === "zone-cut" && server.zone.endsWith("2") &&
        vm.user.zone !== server.zone
      ) {
        return "cut";
      }
    }
    return "open";
  }

  /**
   * Records a crash, which justifies an ejection until after the restart.
   *
   * @param server - id of the crashed server
   * @param nowMs - monotonic time in milliseconds
   */
  recordCrash(server: ServerId, nowMs: number): void {
    const endMs = nowMs + RESTART_MS + CRASH_DETECTION_MS;
    this.#crashes.push({ server, onsetMs: nowMs, endMs });
  }

  /**
   * Checks whether excluding a server is justified.
   *
   * @param server - id of the server
   * @param nowMs - monotonic time in milliseconds
   * @returns true while the server is gray, down or recovering
   */
  isGray(server: ServerId, nowMs: number): boolean {
    return [...this.listGrayPeriods(), ...this.#crashes].some((period) =>
      period.server === server && nowMs >= period.onsetMs &&
      nowMs < period.endMs
    );
  }

  /**
   * Lists the periods in which faults justify excluding servers at all VMs.
   *
   * @returns one period per server and fault, without recorded crashes
   */
  listGrayPeriods(): readonly GrayPeriod[] {
    return this.#placed.flatMap(({ fault, servers }) =>
      GRAY_KINDS.includes(fault.kind)
        ? [...servers].map((server) => ({
          server,
          onsetMs: fault.onsetMs,
          endMs: fault.kind === "cold-start"
            ? fault.onsetMs + RESTART_MS + CRASH_DETECTION_MS
            : fault.onsetMs +
              (fault.durationMs ?? Number.POSITIVE_INFINITY) + RECOVERY_MS,
        }))
        : []
    );
  }
}
