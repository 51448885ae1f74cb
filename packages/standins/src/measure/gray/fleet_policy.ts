/** Interface of the routing policies under measurement. */

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

/** Simulated fleet that a policy runs in. */
export interface PolicyEnvironment {
  readonly time: VirtualTime;
  readonly random: RandomSource;
  readonly service: Service;
  readonly servers: readonly BackendServer[];
  readonly vms: readonly SlotUser[];
  /** Delay between two VMs, in milliseconds. */
  readonly computeDelayMs: (from: SlotUser, to: SlotUser) => number;
  /** True while VMs and the coordinator cannot exchange messages. */
  readonly isHolderCut: () => boolean;
  /** Probes a server's health endpoint. */
  readonly probe: (
    server: ServerId,
    deliver: (isHealthy: boolean) => void,
  ) => void;
}

/**
 * Routes one service's requests at every VM of the fleet.
 */
export abstract class FleetPolicy {
  /** Name of the policy in the report. */
  abstract readonly name: string;

  /** Starts background work such as probes and reports. */
  abstract start(): void;

  /**
   * Acquires a slot for an attempt.
   *
   * @param vm - index of the VM
   * @param request - attempt to place
   * @param deliver - called once with the slot lease or the refusal
   */
  abstract acquire(
    vm: number,
    request: RoutingRequest,
    deliver: (verdict: RoutingVerdict) => void,
  ): void;

  /**
   * Decides whether to retry after a failed attempt.
   *
   * @param vm - index of the VM
   * @param state - attempts so far and time left
   * @returns delay before the retry, or to give up
   */
  abstract planRetry(vm: number, state: RetryState): RetryDecision;

  /**
   * Plans a hedged attempt.
   *
   * @param vm - index of the VM
   * @param request - attempt in flight
   * @returns milliseconds after dispatch; undefined for no hedge
   */
  abstract planHedgeMs(vm: number, request: RoutingRequest): number | undefined;

  /**
   * Lists the servers that a VM excludes from ordinary requests now.
   *
   * @param vm - index of the VM
   * @returns ids of ejected or avoided servers, as far as the floor allows
   */
  abstract listExcluded(vm: number): ReadonlySet<ServerId>;

  /**
   * Replaces the servers after some have begun to drain.
   *
   * @param servers - servers that may get new requests
   */
  abstract setServers(servers: readonly BackendServer[]): void;

  /**
   * Reads the fleet-wide ejection decision.
   *
   * @returns the coordinator's decision; undefined if VMs decide independently
   */
  abstract readDecision(): EjectionDecision | undefined;

  /**
   * Sums the slot time taken by probes.
   *
   * @returns milliseconds over all VMs since the start of the run
   */
  abstract sumProbeCostMs(): number;

  /**
   * Counts the bytes of control messages sent so far by all VMs.
   *
   * @returns bytes since the start of the run
   */
  abstract countControlBytes(): number;
}
