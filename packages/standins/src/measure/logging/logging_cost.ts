/** Measures what the log of one VM process costs. */

import { readFileSync } from "node:fs";

import { FleetProcesses } from "../../fleet/fleet_processes.ts";
import type { VmProcessHandle } from "../../fleet/vm_process_handle.ts";

const KEY = "key-of-dance";
const SERVER_COUNT = 10;
/** Fields of /proc/PID/stat after the command: user and system time. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
const TICKS_PER_SECOND = 100;
const TICK_MS = 20;
/** Time in which the process compiles what it runs often. */
const WARM_UP_MS = 3_000;

/** One row of the measurement. */
export interface LoggingCost {
  readonly requestsPerSecond: number;
  readonly logLevel: "error" | "info";
  /** Processor time of the process for one request, in milliseconds. */
  readonly processorMs: number;
  readonly bytesPerRequest: number;
  readonly served: number;
  readonly sent: number;
}

/** What is measured. */
export interface LoggingCostOptions {
  readonly requestsPerSecond: number;
  readonly logLevel: "error" | "info";
  readonly lengthMs: number;
}

/**
 * Sends requests to one VM at a fixed rate.
 *
 * @param options - what is measured
 * @returns the row
 */
export async function measureLoggingCost(
  options: LoggingCostOptions,
): Promise<LoggingCost> {
  const fleet = new FleetProcesses({ logLevel: options.logLevel });
  try {
    await fleet.start({ servers: SERVER_COUNT, zones: [1] });
    const [vm] = fleet.vms;
    if (vm === undefined) {
      throw new Error("the fleet has no VM");
    }
    await sendAtRate(fleet, vm, { ...options, lengthMs: WARM_UP_MS });
    const startMs = readProcessorMs(vm);
    const startBytes = vm.log.length;
    const counts = await sendAtRate(fleet, vm, options);
    return {
      requestsPerSecond: options.requestsPerSecond,
      logLevel: options.logLevel,
      processorMs: (readProcessorMs(vm) - startMs) / counts.sent,
      bytesPerRequest: (vm.log.length - startBytes) / counts.sent,
      ...counts,
    };
  } finally {
    await fleet.stop();
  }
}

async function sendAtRate(
  fleet: FleetProcesses,
  vm: VmProcessHandle,
  options: LoggingCostOptions,
): Promise<{ readonly sent: number; readonly served: number }> {
  const startedAtMs = Date.now();
  const running: Promise<boolean>[] = [];
  let elapsedMs = 0;
  while (elapsedMs < options.lengthMs) {
    const due = elapsedMs * options.requestsPerSecond / 1_000;
    while (running.length < due) {
      running.push(
        fleet.send(vm, { path: "/read/1", key: KEY })
          .then(({ status }) => status === 200),
      );
    }
    await new Promise((resolve) => setTimeout(resolve, TICK_MS));
    elapsedMs = Date.now() - startedAtMs;
  }
  const results = await Promise.all(running);
  return { sent: results.length, served: results.filter(Boolean).length };
}

function readProcessorMs(vm: VmProcessHandle): number {
  const stat = readFileSync(`/proc/${vm.processId}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TIME_FIELD]) +
    Number(fields[SYSTEM_TIME_FIELD]);
  return ticks / TICKS_PER_SECOND * 1_000;
}
