/** Sends requests to a fleet as callers do: most of them to leaders. */

import { waitMs } from "../process_soak/wait_ms.ts";
import { waitForLeader } from "./fleet_lookup.ts";
import type { FleetProcesses } from "./fleet_processes.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const ZONES = ["zone-0", "zone-1"];

/** VM that a request goes to. */
export interface LoadTarget {
  readonly vm: VmProcessHandle;
  /** True if it led its zone when the load began. */
  readonly isLeader: boolean;
  /** Number of requests sent before. */
  readonly count: number;
}

/** Duration and rate of the load. */
export interface LoadOptions {
  readonly forMs: number;
  readonly intervalMs: number;
}

/**
 * Sends two thirds of the requests to the leaders of both zones in turn, the
 * others to all VMs in turn.
 *
 * @param fleet - running fleet with the zones `zone-0` and `zone-1`
 * @param options - duration, and time between two requests
 * @param send - sends one request
 * @returns results of `send`, in the order of sending
 * @throws Error if the zones have no leaders for long
 */
export async function sendMixedLoad<Result>(
  fleet: FleetProcesses,
  { forMs, intervalMs }: LoadOptions,
  send: (target: LoadTarget) => Promise<Result>,
): Promise<readonly Result[]> {
  const leaders = await Promise.all(
    ZONES.map((zone) => waitForLeader(fleet, zone)),
  );
  const endAtMs = Date.now() + forMs;
  const sent: Promise<Result>[] = [];
  while (Date.now() < endAtMs) {
    const count = sent.length;
    const vm = count % 3 === 0
      ? fleet.vms[(count / 3) % fleet.vms.length]
      : leaders[count % leaders.length];
    if (vm !== undefined) {
      sent.push(send({ vm, isLeader: leaders.includes(vm), count }));
    }
    await waitMs(intervalMs);
  }
  return await Promise.all(sent);
}
