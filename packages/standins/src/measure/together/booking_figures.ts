/** What becomes of requests that may run at most once, fault by fault. */

import { SeededRandomSource } from "@limpetford/core/time/random_source";

import { VirtualFleet } from "../../soak/virtual_fleet.ts";
import type { FigureTable } from "../measure_output.ts";

const VM_COUNT = 6;
const SHARD_COUNT = 2;
const TEAM = "team";
const SETTLE_MS = 4_000;
const FAULT_AFTER_MS = 2_000;
const RUN_MS = 20_000;
const GAP_MS = 20;
const RESEND_AFTER_MS = 300;
const RESEND_SHARE = 0.3;
const LIST_LAG_MS = 10_000;
const PAUSE_MS = 4_000;
const REPLACE_EVERY_MS = 3_000;
const END_MS = 5_000;
const MS_PER_SECOND = 1_000;

/** Figures of one fault. */
export interface BookingRow {
  readonly fault: string;
  readonly bookings: number;
  readonly ranTwice: number;
  /** Bookings of which the caller has an answer in the end. */
  readonly answered: number;
  /** Refused truly, at the first try and at the second if there was one. */
  readonly refused: number;
  readonly unknown: number;
  /** No answer, as the asked VM died or stood still. */
  readonly withoutAnswer: number;
  readonly breaches: number;
  /** Longest time in which no VM might act for the shard. */
  readonly longestWithoutHolderMs: number;
  readonly appendsPerSecond: number;
}

interface Fault {
  readonly name: string;
  readonly begin: (fleet: VirtualFleet) => void;
}

const FAULTS: readonly Fault[] = [
  { name: "none", begin: () => undefined },
  { name: "holder killed", begin: abortHolder },
  { name: "log away", begin: stopLog },
  {
    name: "log away, holder killed 2 s later",
    begin: (fleet) => {
      stopLog(fleet);
      fleet.clock.schedule(2_000, () => {
        abortHolder(fleet);
      });
    },
  },
  { name: "one-way cut from the holder to all", begin: dropHolderLinks },
  { name: "holder paused for 4 s", begin: stopHolderBriefly },
  { name: "VMs replaced one after another", begin: retireAll },
];

/**
 * Measures every fault.
 *
 * @param seed - seed of all random numbers
 * @returns one row per fault
 */
export async function measureBookings(
  seed: number,
): Promise<readonly BookingRow[]> {
  const rows: BookingRow[] = [];
  for (const fault of FAULTS) {
    rows.push(await measureFault(fault, seed));
  }
  return rows;
}

/**
 * Arranges the figures in a table.
 *
 * @param rows - the figures
 * @returns the table
 */
export function buildBookingsTable(rows: readonly BookingRow[]): FigureTable {
  return {
    title: "Requests that may run at most once, by fault",
    columns: [
      "fault",
      "bookings",
      "ran twice",
      "answered",
      "refused truly",
      "unknown",
      "no answer",
      "two holders or untrue refusals",
      "longest without holder, s",
      "appends/s",
    ],
    rows: rows.map((row) => [
      row.fault,
      String(row.bookings),
      String(row.ranTwice),
      String(row.answered),
      String(row.refused),
      String(row.unknown),
      String(row.withoutAnswer),
      String(row.breaches),
      (row.longestWithoutHolderMs / MS_PER_SECOND).toFixed(2),
      row.appendsPerSecond.toFixed(1),
    ]),
  };
}

async function measureFault(fault: Fault, seed: number): Promise<BookingRow> {
  const random = new SeededRandomSource(seed);
  const fleet = new VirtualFleet({ shardCount: SHARD_COUNT });
  for (let index = 0; index < VM_COUNT; index += 1) {
    await fleet.startVm(index);
  }
  await fleet.advance(SETTLE_MS);
  fleet.clock.schedule(FAULT_AFTER_MS, () => {
    fault.begin(fleet);
  });
  const appendsBefore = fleet.store.countAppends();
  const count = RUN_MS / GAP_MS;
  let longestMs = 0;
  let withoutMs = 0;
  for (let index = 0; index < count; index += 1) {
    sendBooking(fleet, random, `booking-${index}`);
    await fleet.advance(GAP_MS);
    withoutMs = fleet.listHolders(TEAM).length === 0 ? withoutMs + GAP_MS : 0;
    longestMs = Math.max(longestMs, withoutMs);
  }
  const appends = fleet.store.countAppends() - appendsBefore;
  await fleet.advance(END_MS);
  return {
    fault: fault.name,
    ...countOutcomes(fleet, count),
    longestWithoutHolderMs: longestMs,
    appendsPerSecond: appends * MS_PER_SECOND / RUN_MS,
  };
}

function sendBooking(
  fleet: VirtualFleet,
  random: SeededRandomSource,
  key: string,
): void {
  fleet.sendRequest(pickVm(fleet, random), TEAM, key);
  if (random.sampleUniform() < RESEND_SHARE) {
    fleet.clock.schedule(RESEND_AFTER_MS, () => {
      fleet.sendRequest(pickVm(fleet, random), TEAM, key);
    });
  }
}

function pickVm(fleet: VirtualFleet, random: SeededRandomSource): number {
  const alive = fleet.vms.filter((vm) => !vm.scheduler.isDead());
  const picked = alive[random.pickIndex(alive.length)];
  return Number(picked?.name.slice("vm-".length));
}

function countOutcomes(
  fleet: VirtualFleet,
  count: number,
): Omit<
  BookingRow,
  "fault" | "longestWithoutHolderMs" | "appendsPerSecond"
> {
  const verdicts = new Map<string, Set<string>>();
  for (const { key, verdict } of fleet.responses) {
    verdicts.set(key, (verdicts.get(key) ?? new Set()).add(verdict));
  }
  const outcomes = Array.from(
    { length: count },
    (_, index) =>
      describeOutcome(verdicts.get(`booking-${index}`) ?? new Set()),
  );
  const countOf = (outcome: string): number =>
    outcomes.filter((other) => other === outcome).length;
  return {
    bookings: count,
    ranTwice: fleet.violations.filter((b) => b.kind === "ran-twice").length,
    answered: countOf("answered"),
    refused: countOf("refused"),
    unknown: countOf("unknown"),
    withoutAnswer: countOf("none"),
    breaches: fleet.violations.length,
  };
}

function describeOutcome(verdicts: ReadonlySet<string>): string {
  if (["ran", "replay", "ran-answer-not-kept"].some((v) => verdicts.has(v))) {
    return "answered";
  }
  if (verdicts.has("outcome-unknown")) {
    return "unknown";
  }
  const isRefused = verdicts.has("refused") || verdicts.has("still-running");
  return isRefused ? "refused" : "none";
}

function findHolder(fleet: VirtualFleet): VirtualFleet["vms"][number] {
  const [name] = fleet.listHolders(TEAM);
  const found = fleet.vms.find((vm) => vm.name === name);
  if (found === undefined) {
    throw new Error("no VM holds the shard");
  }
  return found;
}

function abortHolder(fleet: VirtualFleet): void {
  fleet.abortVm(findHolder(fleet), LIST_LAG_MS);
}

function stopLog(fleet: VirtualFleet): void {
  fleet.vms.forEach((vm) => {
    vm.log.faults.isUnavailable = true;
  });
}

function dropHolderLinks(fleet: VirtualFleet): void {
  const holder = findHolder(fleet);
  fleet.vms
    .filter((vm) => vm !== holder)
    .forEach((vm) => {
      fleet.links.setCut(holder.name, vm.name, true);
    });
}

function stopHolderBriefly(fleet: VirtualFleet): void {
  const holder = findHolder(fleet);
  holder.scheduler.close();
  fleet.clock.schedule(PAUSE_MS, () => {
    holder.scheduler.open();
  });
}

function retireAll(fleet: VirtualFleet): void {
  const leaving = [...fleet.vms];
  leaving.forEach((vm, index) => {
    fleet.clock.schedule(index * REPLACE_EVERY_MS, () => {
      void fleet.startVm(VM_COUNT + index);
      fleet.drainVm(vm);
    });
  });
}
