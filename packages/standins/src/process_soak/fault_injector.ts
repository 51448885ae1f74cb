/** Injects faults into a fleet of processes and clears them. */

import { type FleetProcesses } from "../fleet/fleet_processes.ts";
import { GRACE_PERIOD_SECONDS } from "../fleet/vm_bounds.ts";
import {
  SERVER_LINK_FAULT,
  type VmProcessHandle,
} from "../fleet/vm_process_handle.ts";
import { SERVER_BEHAVIOR } from "../platform/server_standin.ts";
import { STORE_FAULT } from "../platform/store_standin.ts";
import { LINK_FAULT } from "../platform/tcp_fault_proxy.ts";
import type { ProcessFault, ScheduledFault } from "./process_fault.ts";
import { waitMs } from "./wait_ms.ts";

/** Time beyond the grace period for the exit of a process on a busy machine. */
const EXIT_MARGIN_MS = 1_000;

/** Pause that a server names which turns requests away, in seconds. */
const PAUSE_SECONDS = "0.8";

/** Injects the faults of a schedule, which may overlap. */
export class FaultInjector {
  /** A message for each process that took too long to exit after a signal. */
  readonly violations: string[] = [];
  readonly #fleet: FleetProcesses;
  readonly #frozen = new Set<VmProcessHandle>();

  /**
   * Creates an injector.
   *
   * @param fleet - fleet that the faults are injected into
   */
  constructor(fleet: FleetProcesses) {
    this.#fleet = fleet;
  }

  /**
   * Waits for a fault's start, injects it, and clears it after its duration.
   *
   * @param scheduled - fault, start and duration
   */
  async run({ atMs, forMs, fault }: ScheduledFault): Promise<void> {
    await waitMs(atMs);
    const clearFault = this.#applyFault(fault, forMs);
    await waitMs(forMs);
    await clearFault();
  }

  // Returns a function that clears the fault.
  #applyFault(
    fault: ProcessFault,
    forMs: number,
  ): () => Promise<void> | void {
    const { vms, store, storeLinks } = this.#fleet;
    switch (fault.kind) {
      case "kill":
        return this.#stopVms([vms[fault.vm]], "SIGKILL");
      case "planned-stop":
        return this.#stopVms([vms[fault.vm]], "SIGTERM");
      case "power-loss":
        return this.#stopVms(vms, "SIGKILL");
      case "freeze":
        return this.#stopTemporarily(vms[fault.vm]);
      case "store":
        store.fault = fault.fault;
        return () => {
          store.fault = STORE_FAULT.none;
        };
      case "store-returns": {
        const copy = store.buildCopy();
        return () => {
          this.#fleet.returnStore(copy);
        };
      }
      case "history-dropped":
        store.dropAllHistory();
        return () => undefined;
      case "store-link":
        storeLinks[fault.vm]?.setFault(fault.fault);
        return () => storeLinks[fault.vm]?.setFault(LINK_FAULT.none);
      case "vm-links": {
        const cut = fault.vms.flatMap((index) => vms[index] ?? []);
        this.#fleet.setServerLinkFault(cut, fault.fault);
        return () => {
          this.#fleet.setServerLinkFault(cut, SERVER_LINK_FAULT.none);
        };
      }
      case "server":
      case "server-link":
      case "server-leaves":
      case "server-crash":
      case "server-says-leaving":
      case "server-turns-away":
        return this.#applyServerFault(fault, forMs);
    }
  }

  #applyServerFault(
    fault: Extract<ProcessFault, { readonly server: number }>,
    forMs: number,
  ): () => void {
    const server = this.#fleet.servers[fault.server];
    const link = this.#fleet.serverLinks[fault.server];
    if (server === undefined || link === undefined) {
      throw new Error(
        `the fleet has no backend server with index ${fault.server}`,
      );
    }
    switch (fault.kind) {
      case "server":
        server.behavior = fault.behavior;
        return () => {
          server.behavior = SERVER_BEHAVIOR.answer;
        };
      case "server-link":
        link.setFault(fault.fault);
        return () => {
          link.setFault(LINK_FAULT.none);
        };
      case "server-leaves":
        this.#fleet.publishLeaving(server);
        return () => {
          this.#fleet.publishLeaving(server, false);
        };
      case "server-crash":
        server.stopAbruptly(forMs);
        return () => undefined;
      case "server-says-leaving":
        server.isSayingLeaving = true;
        return () => {
          server.isSayingLeaving = false;
          this.#fleet.publishRestart(server);
        };
      case "server-turns-away":
        server.chooseRetryAfter = (): string => PAUSE_SECONDS;
        return () => {
          server.chooseRetryAfter = undefined;
        };
    }
  }

  #stopVms(
    vms: readonly (VmProcessHandle | undefined)[],
    signal: NodeJS.Signals,
  ): () => Promise<void> {
    const startedAtMs = Date.now();
    const stopping = vms.filter((vm) => vm !== undefined).map((vm) => {
      vm.sendSignal(signal);
      const exited = vm.waitForExit().then(() => {
        this.#checkGracePeriod(vm, Date.now() - startedAtMs);
      });
      return { vm, exited };
    });
    return async () => {
      for (const { vm, exited } of stopping) {
        // A stopped process handles SIGTERM only after SIGCONT.
        vm.sendSignal("SIGCONT");
        await exited;
        await this.#fleet.startIfStopped(vm);
      }
    };
  }

  #stopTemporarily(vm: VmProcessHandle | undefined): () => void {
    if (vm === undefined) {
      return () => undefined;
    }
    this.#frozen.add(vm);
    vm.sendSignal("SIGSTOP");
    return () => {
      vm.sendSignal("SIGCONT");
    };
  }

  // Skips processes that were frozen at any time: they could not exit then.
  #checkGracePeriod(vm: VmProcessHandle, tookMs: number): void {
    const limitMs = GRACE_PERIOD_SECONDS * 1_000 + EXIT_MARGIN_MS;
    if (tookMs > limitMs && !this.#frozen.has(vm)) {
      this.violations.push(`${vm.id} took ${tookMs} ms to exit after a signal`);
    }
  }
}
