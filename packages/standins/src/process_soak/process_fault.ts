/** Generates schedules of faults for a fleet of processes from a seed. */

import { SeededRandomSource } from "@limpetford/core/time/random_source";

import {
  SERVER_LINK_FAULT,
  type ServerLinkFault,
} from "../fleet/vm_process_handle.ts";
import {
  SERVER_BEHAVIOR,
  type ServerBehavior,
} from "../platform/server_standin.ts";
import { STORE_FAULT, type StoreFault } from "../platform/store_standin.ts";
import { LINK_FAULT, type LinkFault } from "../platform/tcp_fault_proxy.ts";

const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 3_000;

/** A fault; VMs and backend servers are given by index. */
export type ProcessFault =
  | { readonly kind: "kill"; readonly vm: number }
  | { readonly kind: "freeze"; readonly vm: number }
  | { readonly kind: "planned-stop"; readonly vm: number }
  | { readonly kind: "power-loss" }
  | { readonly kind: "store"; readonly fault: StoreFault }
  | {
    readonly kind: "store-link";
    readonly vm: number;
    readonly fault: LinkFault;
  }
  | {
    readonly kind: "server";
    readonly server: number;
    readonly behavior: ServerBehavior;
  }
  | {
    readonly kind: "server-link";
    readonly server: number;
    readonly fault: LinkFault;
  }
  /** Some VMs reach no backend server. */
  | {
    readonly kind: "vm-links";
    readonly vms: readonly number[];
    readonly fault: ServerLinkFault;
  }
  | { readonly kind: "server-leaves"; readonly server: number }
  | { readonly kind: "server-crash"; readonly server: number }
  /** Its answers say that it is leaving, until it starts again. */
  | { readonly kind: "server-says-leaving"; readonly server: number }
  /** It turns requests away and names a pause. */
  | { readonly kind: "server-turns-away"; readonly server: number }
  | { readonly kind: "history-dropped" }
  /** The store is copied at the start, and returns to the copy at the end. */
  | { readonly kind: "store-returns" };

/** A fault with its start and duration. */
export interface ScheduledFault {
  /** Start, in milliseconds after the start of the run. */
  readonly atMs: number;
  /** Duration until the fault is cleared, in milliseconds. */
  readonly forMs: number;
  readonly fault: ProcessFault;
}

/** Size of the fleet and of the schedule. */
export interface ScheduleSize {
  readonly vms: number;
  readonly servers: number;
  readonly faults: number;
  /** Length of the schedule; all faults are due to be cleared by its end. */
  readonly lengthMs: number;
}

/**
 * Generates a random schedule.
 *
 * @param seed - equal seeds give equal schedules
 * @param size - size of the fleet, number of faults and length
 * @returns the faults, ordered by start
 */
export function generateSchedule(
  seed: number,
  size: ScheduleSize,
): readonly ScheduledFault[] {
  const random = new SeededRandomSource(seed);
  const span = MAX_FAULT_MS - MIN_FAULT_MS;
  const faults = Array.from({ length: size.faults }, () => ({
    atMs: Math.floor(
      random.sampleUniform() * (size.lengthMs - MAX_FAULT_MS),
    ),
    forMs: MIN_FAULT_MS + Math.floor(random.sampleUniform() * span),
    fault: generateFault(random, size),
  }));
  return faults.sort((a, b) => a.atMs - b.atMs);
}

function generateFault(
  random: SeededRandomSource,
  size: ScheduleSize,
): ProcessFault {
  const vm = random.pickIndex(size.vms);
  const server = random.pickIndex(size.servers);
  const generators: readonly (() => ProcessFault)[] = [
    () => ({ kind: "kill", vm }),
    () => ({ kind: "freeze", vm }),
    () => ({ kind: "planned-stop", vm }),
    () => ({ kind: "power-loss" }),
    () => ({ kind: "store", fault: pickValue(random, STORE_FAULT) }),
    () => ({ kind: "store-link", vm, fault: pickValue(random, LINK_FAULT) }),
    () => ({
      kind: "server",
      server,
      behavior: pickValue(random, SERVER_BEHAVIOR),
    }),
    () => ({
      kind: "server-link",
      server,
      fault: pickValue(random, LINK_FAULT),
    }),
    () => ({
      kind: "vm-links",
      vms: pickVms(random, size.vms),
      fault: pickValue(random, SERVER_LINK_FAULT),
    }),
    () => ({ kind: "server-leaves", server }),
    () => ({ kind: "server-crash", server }),
    () => ({ kind: "server-says-leaving", server }),
    () => ({ kind: "server-turns-away", server }),
    () => ({ kind: "history-dropped" }),
    () => ({ kind: "store-returns" }),
  ];
  const generate = generators[random.pickIndex(generators.length)];
  return generate === undefined ? { kind: "power-loss" } : generate();
}

function pickVms(
  random: SeededRandomSource,
  count: number,
): readonly number[] {
  const first = random.pickIndex(count);
  return Array.from(
    { length: 1 + random.pickIndex(count) },
    (_, offset) => (first + offset) % count,
  );
}

function pickValue<Value>(
  random: SeededRandomSource,
  values: Readonly<Record<string, Value>>,
): Value {
  const list = Object.values(values);
  const value = list[random.pickIndex(list.length)];
  if (value === undefined) {
    throw new Error("cannot pick a value from an empty object");
  }
  return value;
}
