/** What a VM's process says of itself, and how the users start it. */

import { readFileSync } from "node:fs";

import { VM_PORTS } from "./vm_ports.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const BYTES_PER_KIB = 1_024;

/**
 * Reads Node's flags in the command of the deploy file.
 *
 * @returns the flags, in their order
 * @throws Error if the file has no such command
 */
export function readDeployedFlags(): readonly string[] {
  const command = /^run = "node (.*) target/m.exec(
    readFileSync("deploy/system.toml", "utf8"),
  )?.[1];
  if (command === undefined) {
    throw new Error("the deploy file has no command that runs Node");
  }
  return command.split(" ");
}

/**
 * Reads a metric of a VM.
 *
 * @param vm - a VM
 * @param name - its name, without the prefix, and its labels
 * @returns its value; undefined without one, or if the VM does not answer
 */
export async function readMetric(
  vm: VmProcessHandle,
  name: string,
): Promise<number | undefined> {
  try {
    const url = `http://${vm.host}:${VM_PORTS.metrics}/metrics`;
    const text = await (await fetch(url)).text();
    const value = text.split("\n").find((line) =>
      line.startsWith(`limpetford_${name} `)
    )?.split(" ")[1];
    return value === undefined ? undefined : Number(value);
  } catch {
    return undefined;
  }
}

/**
 * Reads how much memory the process of a VM has had at most.
 *
 * @param vm - a VM whose process runs
 * @returns bytes
 */
export function readPeakBytes(vm: VmProcessHandle): number {
  const status = readFileSync(`/proc/${vm.processId}/status`, "utf8");
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) * BYTES_PER_KIB;
}
