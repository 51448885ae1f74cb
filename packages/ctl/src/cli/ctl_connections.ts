/** Connections and environment of limpetctl commands. */

import { randomBytes, randomUUID } from "node:crypto";
import { readFile } from "node:fs/promises";
import { setTimeout as wait } from "node:timers/promises";

import type { Clock } from "@limpetford/core/time/clock";
import { HttpLogService } from "@limpetford/platform/http/http_log_service";
import { HttpVmList } from "@limpetford/platform/http/http_vm_list";
import type { LogService } from "@limpetford/platform/log_service";
import type { VmList } from "@limpetford/platform/vm_list";

import type { CtlSettings } from "../settings/ctl_settings.ts";
import type { VmOperatorClient } from "../vms/vm_operator_client.ts";
import { HttpVmOperatorClient } from "../vms/vm_operator_client.ts";
import { SystemClock } from "./system_clock.ts";

/** Clients for the log, the VM list and the VMs. */
export interface CtlConnections {
  readonly log: LogService;
  readonly vmList: VmList;
  readonly vmOperatorClient: VmOperatorClient;
  /** Closes all open connections. */
  close(): Promise<void>;
}

/** System resources that commands use; tests replace them. */
export interface CtlEnvironment {
  readonly clock: Clock;
  /** Reads a file; rejects if it cannot be read. */
  readonly readFile: (path: string) => Promise<Uint8Array>;
  readonly connect: (settings: CtlSettings) => CtlConnections;
  readonly generateId: () => string;
  /** Generates cryptographically secure random bytes. */
  readonly generateBytes: (count: number) => Uint8Array;
  readonly wait: (delayMs: number) => Promise<void>;
  /** Path of the settings file from the environment variable, if it is set. */
  readonly settingsPath: string | undefined;
}

/**
 * Builds the production environment.
 *
 * @returns file system, system clock, HTTP clients and random source
 */
export function buildMachineEnvironment(): CtlEnvironment {
  return {
    clock: new SystemClock(),
    readFile: async (path) => await readFile(path),
    connect: connectOverHttp,
    generateId: randomUUID,
    generateBytes: (count) => randomBytes(count),
    wait: async (delayMs) => {
      await wait(delayMs);
    },
    settingsPath: process.env["LIMPETCTL_SETTINGS"],
  };
}

function connectOverHttp(settings: CtlSettings): CtlConnections {
  const { timeoutMs } = settings;
  const log = new HttpLogService(settings.logUrl, {
    appendTimeoutMs: timeoutMs,
    readTimeoutMs: timeoutMs,
  });
  const vmList = new HttpVmList(settings.vmListUrl, { timeoutMs });
  return {
    log,
    vmList,
    vmOperatorClient: new HttpVmOperatorClient(timeoutMs),
    close: async () => {
      await log.close();
      await vmList.close();
    },
  };
}
