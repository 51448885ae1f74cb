/** Measures CPU time and log output per request of one VM process. */

import { readFileSync } from "node:fs";

import { FleetProcesses } from "../../fleet/fleet_processes.ts";
import type { VmProcessHandle } from "../../fleet/vm_process_handle.ts";

const KEY = "key-of-dance";
const SERVER_COUNT = 10;
/** Fields of /proc/PID/stat after the command: user and system time. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
/** Clock ticks per second in /proc/PID/stat. */
const TICKS_PER_SECOND = 100;
/** Interval at which due requests are sent. */
const TICK_MS = 20;
/** Time for the JIT compiler to optimize the frequently used code. */
const WARM_UP_MS = 3_000;

/** Cost at one request rate and log level. */
export interface LoggingCost {
  readonly requestsPerSecond: number;
  readonly logLevel: "error" | "info";
  /** User and system CPU time of the process per request, in milliseconds. */
  readonly cpuMs: number;
  /** Length of the log output per request. */
  readonly bytesPerRequest: number;
  /** Requests answered with status 200. */
  readonly served: number;
  readonly sent: number;
}

/** Options of {@link measureLoggingCost}. */
export interface LoggingCostOptions {
  readonly requestsPerSecond: number;
  readonly logLevel: "error" | "info";
  readonly durationMs: number;
}

/**
 * Starts a fleet of one VM process and sends it requests at a fixed rate.
 *
 * @param options - request rate, log level and duration
 * @returns the cost per request, without the warm-up
 */
export async function measureLoggingCost(
  options: LoggingCostOptions,
): Promise<LoggingCost> {
  const fleet = new FleetProcesses({ logLevel: options.logLevel });
  try {
    await fleet.start({ servers: SERVER_COUNT, zones: [1] });
    const [vm] = fleet.vms;
    if (vm === undefined) {
      throw new Error("the fleet started without a VM");
    }
    await sendAtRate(fleet, vm, { ...options, durationMs: WARM_UP_MS });
    const startMs = readCpuMs(vm);
    const startBytes = vm.log.length;
    const counts = await sendAtRate(fleet, vm, options);
    return {
      requestsPerSecond: options.requestsPerSecond,
      logLevel: options.logLevel,
      cpuMs: (readCpuMs(vm) - startMs) / counts.sent,
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
  while (elapsedMs < options.durationMs) {
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

function readCpuMs(vm: VmProcessHandle): number {
  const processStat = readFileSync(`/proc/${vm.processId}/stat`, "utf8");
  const fields = processStat.slice(processStat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TIME_FIELD]) +
    Number(fields[SYSTEM_TIME_FIELD]);
  return ticks / TICKS_PER_SECOND * 1_000;
}
