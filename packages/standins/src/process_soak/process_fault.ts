/** Faults of a fleet of processes, drawn from a seed. */

import { SeededRandomSource } from "@limpetford/core/time/random_source";

import {
  SERVER_BEHAVIOR,
  type ServerBehavior,
} from "../platform/server_standin.ts";
import { STORE_FAULT, type StoreFault } from "../platform/store_standin.ts";
import { LINK_FAULT, type LinkFault } from "../platform/tcp_fault_proxy.ts";

const SHORTEST_FAULT_MS = 300;
const LONGEST_FAULT_MS = 3_000;

/** What happens; VMs and servers are counted from zero. */
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
  | { readonly kind: "server-leaves"; readonly server: number }
  | { readonly kind: "history-dropped" };

/** A fault with its time. */
export interface ScheduledFault {
  /** Milliseconds after the start. */
  readonly atMs: number;
  /** Milliseconds until it is mended. */
  readonly forMs: number;
  readonly fault: ProcessFault;
}

/** Size of a schedule. */
export interface ScheduleSize {
  readonly vms: number;
  readonly servers: number;
  readonly faults: number;
  /** All faults are mended by then. */
  readonly lengthMs: number;
}

/**
 * Draws a schedule.
 *
 * @param seed - equal seeds give equal schedules
 * @param size - how much of everything
 * @returns the faults by time
 */
export function generateSchedule(
  seed: number,
  size: ScheduleSize,
): readonly ScheduledFault[] {
  const random = new SeededRandomSource(seed);
  const span = LONGEST_FAULT_MS - SHORTEST_FAULT_MS;
  const faults = Array.from({ length: size.faults }, () => ({
    atMs: Math.floor(
      random.sampleUniform() * (size.lengthMs - LONGEST_FAULT_MS),
    ),
    forMs: SHORTEST_FAULT_MS + Math.floor(random.sampleUniform() * span),
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
  const makers: readonly (() => ProcessFault)[] = [
    () => ({ kind: "kill", vm }),
    () => ({ kind: "freeze", vm }),
    () => ({ kind: "planned-stop", vm }),
    () => ({ kind: "power-loss" }),
    () => ({ kind: "store", fault: pick(random, STORE_FAULT) }),
    () => ({ kind: "store-link", vm, fault: pick(random, LINK_FAULT) }),
    () => ({ kind: "server", server, behavior: pick(random, SERVER_BEHAVIOR) }),
    () => ({ kind: "server-link", server, fault: pick(random, LINK_FAULT) }),
    () => ({ kind: "server-leaves", server }),
    () => ({ kind: "history-dropped" }),
  ];
  const make = makers[random.pickIndex(makers.length)];
  return make === undefined ? { kind: "power-loss" } : make();
}

function pick<Value>(
  random: SeededRandomSource,
  values: Readonly<Record<string, Value>>,
): Value {
  const list = Object.values(values);
  const value = list[random.pickIndex(list.length)];
  if (value === undefined) {
    throw new Error("there is nothing to pick from");
  }
  return value;
}
