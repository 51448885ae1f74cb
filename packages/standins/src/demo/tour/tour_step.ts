/** Base class and helpers of the checks that the demo's tour runs. */

import { setTimeout as wait } from "node:timers/promises";

import { formatAddress } from "@limpetford/domain/vm";

import { sendOnce } from "../demo_caller.ts";
import type { DemoFleet } from "../demo_fleet.ts";
import { buildDemoKey } from "../demo_profile.ts";
import type { DemoVm } from "../demo_vm.ts";

/** Result of a step. */
export interface TourObservation {
  /** What was measured, as one short text with figures. */
  readonly summary: string;
  /** True if the guarantee held. */
  readonly isSatisfied: boolean;
}

/**
 * Checks one guarantee of the proxies on a running fleet.
 */
export abstract class TourStep {
  /** The guarantee, as one sentence. */
  abstract readonly guarantee: string;

  /**
   * Exercises the fleet and checks the guarantee.
   *
   * @param fleet - running fleet; a completed step leaves no fault behind
   * @returns measurements, and whether the guarantee held
   */
  abstract run(fleet: DemoFleet): Promise<TourObservation>;
}

const POLL_INTERVAL_MS = 50;

/**
 * Polls until a condition holds.
 *
 * @param timeoutMs - maximum wait, in milliseconds
 * @param isDone - condition, evaluated at each poll
 * @returns elapsed time in milliseconds; undefined after a timeout
 */
export async function waitUntil(
  timeoutMs: number,
  isDone: () => boolean | Promise<boolean>,
): Promise<number | undefined> {
  const startMs = performance.now();
  while (performance.now() - startMs < timeoutMs) {
    if (await isDone()) {
      return Math.round(performance.now() - startMs);
    }
    await wait(POLL_INTERVAL_MS);
  }
  return undefined;
}

/**
 * Picks a running VM.
 *
 * @param fleet - running fleet
 * @param index - position among the running VMs, modulo their number
 * @returns a VM that is neither stopped nor draining
 * @throws Error if no VM is running
 */
export function pickVm(fleet: DemoFleet, index: number): DemoVm {
  const vms = [...fleet.vms.values()];
  const vm = vms[index % vms.length];
  if (vm === undefined) {
    throw new Error("no VM is running");
  }
  return vm;
}

/**
 * Finds the VM that the fleet recommends first to callers of the large team;
 * this VM holds the team's shard.
 *
 * @param fleet - running fleet
 * @returns first VM of the address list; any running VM if there is no list
 */
export async function findPreferredVm(fleet: DemoFleet): Promise<DemoVm> {
  const { service, largeTeam } = fleet.profile;
  const response = await sendOnce(pickVm(fleet, 0).callerAddress, {
    path: `/.limpetford/entries?service=${service}`,
    key: buildDemoKey(largeTeam),
  });
  const body = response.kind === "answer" ? response.body : "";
  const vm = [...fleet.vms.values()].find((candidate) =>
    body.includes(`["${formatAddress(candidate.callerAddress)}"`)
  );
  return vm ?? pickVm(fleet, 0);
}
