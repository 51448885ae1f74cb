/** What the measured ways of routing have in common. */

import type { EjectionDecision } from "@limpetford/core/ejection/ejection_decision";
import type {
  RetryDecision,
  RetryState,
} from "@limpetford/core/retries/retry_planner";
import type { SlotUser } from "@limpetford/core/routing/home_slots";
import type {
  RoutingRequest,
  RoutingVerdict,
} from "@limpetford/core/routing/routing_request";
import type { RandomSource } from "@limpetford/core/time/random_source";
import type { ServerId } from "@limpetford/domain/ids";
import type { BackendServer, Service } from "@limpetford/domain/service";

import type { VirtualTime } from "./virtual_time.ts";

/** The world in which a policy works. */
export interface PolicyWorld {
  readonly time: VirtualTime;
  readonly random: RandomSource;
  readonly service: Service;
  readonly servers: readonly BackendServer[];
  readonly vms: readonly SlotUser[];
  /** Delay between two VMs, in milliseconds. */
  readonly computeDelayMs: (from: SlotUser, to: SlotUser) => number;
  /** True if a VM cannot reach the holder. */
  readonly isHolderCut: () => boolean;
  /** Asks a server's health endpoint, which takes a slot. */
  readonly probe: (
    server: ServerId,
    deliver: (isHealthy: boolean) => void,
  ) => void;
}

/**
 * Routes one service's requests at all VMs.
 */
export abstract class FleetPolicy {
  /** Name in the table. */
  abstract readonly name: string;

  /** Starts background work. */
  abstract start(): void;

  /**
   * Acquires a slot for an attempt.
   *
   * @param vm - index of the VM
   * @param request - the attempt
   * @param deliver - called once with the verdict
   */
  abstract acquire(
    vm: number,
    request: RoutingRequest,
    deliver: (verdict: RoutingVerdict) => void,
  ): void;

  /**
   * Decides on a retry.
   *
   * @param vm - index of the VM
   * @param question - the finished attempt
   * @returns the decision
   */
  abstract planRetry(vm: number, question: RetryState): RetryDecision;

  /**
   * Plans a hedge.
   *
   * @param vm - index of the VM
   * @param request - the running attempt
   * @returns milliseconds after dispatch, or undefined
   */
  abstract planHedgeMs(vm: number, request: RoutingRequest): number | undefined;

  /**
   * Lists the servers that a VM leaves out now.
   *
   * @param vm - index of the VM
   * @returns the servers
   */
  abstract listLeftOut(vm: number): ReadonlySet<ServerId>;

  /**
   * Sets the servers after one has begun to leave.
   *
   * @param servers - those that may get new work
   */
  abstract setServers(servers: readonly BackendServer[]): void;

  /**
   * Reads the fleet-wide decision, if this policy makes any.
   *
   * @returns the decision of the holder
   */
  abstract readDecision(): EjectionDecision | undefined;

  /**
   * Sums the slot time that probes have cost.
   *
   * @returns milliseconds
   */
  abstract sumProbeCostMs(): number;

  /**
   * Counts the bytes of control messages sent so far by all VMs.
   *
   * @returns the number of bytes
   */
  abstract countControlBytes(): number;
}
