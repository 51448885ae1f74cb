/** Generates the series of overlapping faults of an upgrade. */

import type { RandomSource } from "@limpetford/core/time/random_source";

import { STORE_FAULT } from "../platform/store_standin.ts";
import type { ScheduledFault } from "../process_soak/process_fault.ts";

/** Ways in which the store is away. */
const STORE_FAULTS = [
  STORE_FAULT.busy,
  STORE_FAULT.reset,
  STORE_FAULT.silent,
  STORE_FAULT.answerLost,
] as const;

/**
 * Puts VMs into a random order.
 *
 * @param random - source of random numbers
 * @param count - number of VMs
 * @returns indexes of all VMs
 */
export function sortRandomly(
  random: RandomSource,
  count: number,
): readonly number[] {
  const left = Array.from({ length: count }, (_, index) => index);
  return Array.from(
    { length: count },
    () => left.splice(random.pickIndex(left.length), 1)[0] ?? 0,
  );
}

/**
 * Generates a series: the store is away and returns from a copy, VMs of both
 * builds are killed, and one stands still.
 *
 * @param random - source of random numbers
 * @param order - VMs in the order in which they are replaced
 * @returns the faults, which overlap
 */
export function generateSeries(
  random: RandomSource,
  order: readonly number[],
): readonly ScheduledFault[] {
  const [replaced = 0, otherReplaced = 0] = order;
  const [waiting = 0, otherWaiting = 0] = [...order].reverse();
  const isReplacedFrozen = random.sampleUniform() < 0.5;
  const sampleMs = (fromMs: number, toMs: number): number =>
    Math.floor(fromMs + random.sampleUniform() * (toMs - fromMs));
  const fault = STORE_FAULTS[random.pickIndex(STORE_FAULTS.length)];
  return [
    {
      atMs: sampleMs(0, 1_000),
      forMs: sampleMs(1_500, 3_000),
      fault: { kind: "store", fault: fault ?? STORE_FAULT.busy },
    },
    {
      atMs: sampleMs(500, 1_500),
      forMs: sampleMs(500, 1_500),
      fault: { kind: "kill", vm: isReplacedFrozen ? waiting : replaced },
    },
    {
      atMs: sampleMs(500, 1_500),
      forMs: sampleMs(800, 2_500),
      fault: {
        kind: "freeze",
        vm: isReplacedFrozen ? otherReplaced : otherWaiting,
      },
    },
    {
      atMs: sampleMs(2_000, 3_500),
      forMs: sampleMs(500, 1_200),
      fault: { kind: "store-returns" },
    },
    {
      atMs: sampleMs(3_000, 4_000),
      forMs: sampleMs(300, 1_000),
      fault: { kind: "kill", vm: isReplacedFrozen ? replaced : waiting },
    },
  ];
}
