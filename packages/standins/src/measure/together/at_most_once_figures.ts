/**
 * Measures the outcomes of non-idempotent requests, which may run at most once,
 * under each fault. The fleet is the virtual fleet of the soak test.
 */

import { SeededRandomSource } from "@limpetford/core/time/random_source";

import { VirtualFleet } from "../../soak/virtual_fleet.ts";
import type { FigureTable } from "../measure_output.ts";

const VM_COUNT = 6;
const SHARD_COUNT = 2;
const TEAM = "team";
/** Time in which the VMs join and assign the shards, before any request. */
const WARM_UP_MS = 4_000;
/** Time from the first request to the fault. */
const FAULT_AFTER_MS = 2_000;
/** Time in which requests are sent. */
const RUN_MS = 20_000;
const REQUEST_INTERVAL_MS = 20;
/** Delay after which a caller resends a request with the same key. */
const RESEND_AFTER_MS = 300;
/** Share of requests that the caller resends, from 0 to 1. */
const RESEND_SHARE = 0.3;
/** Time for which the platform's VM list still shows a killed VM. */
const VM_LIST_LAG_MS = 10_000;
/** Time for which a paused VM handles no events. */
const PAUSE_MS = 4_000;
/** Interval at which VMs are replaced. */
const REPLACE_EVERY_MS = 3_000;
/** Time after the run in which the last requests complete. */
const COMPLETION_MS = 5_000;
const MS_PER_SECOND = 1_000;

/** Outcomes under one fault. Written to the JSON file as it is. */
export interface AtMostOnceRow {
  readonly fault: string;
  /** Number of distinct requests; resent ones count once. */
  readonly bookings: number;
  /** Runs of a request beyond its first. */
  readonly ranTwice: number;
  /** Requests for which the caller received the server's response. */
  readonly answered: number;
  /** Requests with no other reply than refused or still running. */
  readonly refused: number;
  /** Requests of which the caller was told that they may have run. */
  readonly unknown: number;
  /** Requests without a reply, because the VM was killed or paused. */
  readonly withoutAnswer: number;
  /** Second runs, and checks at which a shard had two holders. */
  readonly breaches: number;
  /** Longest time in which no VM held the shard of the team. */
  readonly longestWithoutHolderMs: number;
  /** Appends to the log by all VMs. */
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
 * Runs the fleet once under each fault and counts the outcomes.
 *
 * @param seed - seed of all random numbers
 * @returns one row per fault
 */
export async function measureAtMostOnce(
  seed: number,
): Promise<readonly AtMostOnceRow[]> {
  const rows: AtMostOnceRow[] = [];
  for (const fault of FAULTS) {
    rows.push(await measureFault(fault, seed));
  }
  return rows;
}

/**
 * Builds the printed table of the outcomes.
 *
 * @param rows - outcomes, one row per fault
 * @returns a table with one row per fault and times in seconds
 */
export function buildAtMostOnceTable(
  rows: readonly AtMostOnceRow[],
): FigureTable {
  return {
    title: "Outcomes of non-idempotent requests, by fault",
    columns: [
      "fault",
      "bookings",
      "ran twice",
      "answered",
      "refused or still running",
      "unknown",
      "no reply",
      "second runs or two holders",
      "longest time without holder, s",
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

async function measureFault(
  fault: Fault,
  seed: number,
): Promise<AtMostOnceRow> {
  const random = new SeededRandomSource(seed);
  const fleet = new VirtualFleet({ shardCount: SHARD_COUNT });
  for (let index = 0; index < VM_COUNT; index += 1) {
    await fleet.startVm(index);
  }
  await fleet.advance(WARM_UP_MS);
  fleet.clock.schedule(FAULT_AFTER_MS, () => {
    fault.begin(fleet);
  });
  const appendsBefore = fleet.store.countAppends();
  const count = RUN_MS / REQUEST_INTERVAL_MS;
  let longestWithoutHolderMs = 0;
  let withoutHolderMs = 0;
  for (let index = 0; index < count; index += 1) {
    sendWithResend(fleet, random, `booking-${index}`);
    await fleet.advance(REQUEST_INTERVAL_MS);
    withoutHolderMs = fleet.listHolders(TEAM).length === 0
      ? withoutHolderMs + REQUEST_INTERVAL_MS
      : 0;
    longestWithoutHolderMs = Math.max(longestWithoutHolderMs, withoutHolderMs);
  }
  const appends = fleet.store.countAppends() - appendsBefore;
  await fleet.advance(COMPLETION_MS);
  return {
    fault: fault.name,
    ...countOutcomes(fleet, count),
    longestWithoutHolderMs,
    appendsPerSecond: appends * MS_PER_SECOND / RUN_MS,
  };
}

function sendWithResend(
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
  AtMostOnceRow,
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
  const countOutcome = (outcome: string): number =>
    outcomes.filter((other) => other === outcome).length;
  return {
    bookings: count,
    ranTwice: fleet.violations.filter((b) => b.kind === "ran-twice").length,
    answered: countOutcome("answered"),
    refused: countOutcome("refused"),
    unknown: countOutcome("unknown"),
    withoutAnswer: countOutcome("none"),
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
  fleet.abortVm(findHolder(fleet), VM_LIST_LAG_MS);
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
  holder.scheduler.stop();
  fleet.clock.schedule(PAUSE_MS, () => {
    holder.scheduler.resume();
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
