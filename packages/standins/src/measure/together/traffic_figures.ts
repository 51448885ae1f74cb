/**
 * Measures the control traffic of membership and gossip that a VM sends in a
 * fleet without faults.
 */

import type { FigureTable } from "../measure_output.ts";
import { MembershipFleet } from "../membership_fleet.ts";

const SIZES = [8, 16, 32, 64, 128, 256] as const;
const WARM_UP_MS = 10_000;
const RUN_MS = 60_000;
const MS_PER_SECOND = 1_000;

/** Traffic at one fleet size. Written to the JSON file as it is. */
export interface TrafficRow {
  /** Number of VMs. */
  readonly size: number;
  /** Mean over all VMs. */
  readonly messagesPerSecond: number;
  /** Mean over all VMs, including protocol overhead. */
  readonly bytesPerSecond: number;
  /** Bytes of the VM that sent most. */
  readonly largestBytesPerSecond: number;
}

/**
 * Measures idle fleets of several sizes.
 *
 * @param seed - seed of all random numbers
 * @returns one row per size
 */
export function measureTraffic(seed: number): readonly TrafficRow[] {
  return SIZES.map((size) => {
    const fleet = new MembershipFleet({ size, seed });
    fleet.time.advanceTo(WARM_UP_MS);
    fleet.links.resetTraffic();
    fleet.time.advanceTo(WARM_UP_MS + RUN_MS);
    const counts = fleet.members.map((m) => fleet.links.readTraffic(m.vm));
    const seconds = RUN_MS / MS_PER_SECOND;
    const bytes = counts.map((count) => count.bytes / seconds);
    const messages = counts.map((count) => count.messages / seconds);
    return {
      size,
      messagesPerSecond: computeMean(messages),
      bytesPerSecond: computeMean(bytes),
      largestBytesPerSecond: Math.max(...bytes),
    };
  });
}

/**
 * Builds the printed table of the traffic per VM.
 *
 * @param rows - traffic, one row per fleet size in ascending order
 * @returns a table whose last row is the increase in bytes for each added VM
 */
export function buildTrafficTable(rows: readonly TrafficRow[]): FigureTable {
  const first = rows[0];
  const last = rows.at(-1);
  const slope = first === undefined || last === undefined
    ? 0
    : (last.bytesPerSecond - first.bytesPerSecond) / (last.size - first.size);
  return {
    title: "Membership and gossip, sent per VM and second",
    columns: ["VMs", "messages", "bytes", "bytes of the busiest VM"],
    rows: [
      ...rows.map((row) => [
        String(row.size),
        row.messagesPerSecond.toFixed(2),
        row.bytesPerSecond.toFixed(0),
        row.largestBytesPerSecond.toFixed(0),
      ]),
      ["slope per VM", "", slope.toFixed(2), ""],
    ],
  };
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
