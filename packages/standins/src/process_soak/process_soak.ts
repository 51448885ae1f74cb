/** Runs a fleet of processes through a schedule of faults. */

import { SeededRandomSource } from "@limpetford/core/time/random_source";
import { WIRE_HEADER } from "@limpetford/platform/store/wire_names";

import {
  FleetProcesses,
  GRACE_PERIOD_SECONDS,
} from "../fleet/fleet_processes.ts";
import type { VmProcessHandle } from "../fleet/vm_process_handle.ts";
import { LINK_FAULT } from "../platform/loopback_proxy.ts";
import { SERVER_BEHAVIOR } from "../platform/server_standin.ts";
import { STORE_FAULT } from "../platform/store_standin.ts";
import {
  generateSchedule,
  type ProcessFault,
  type ScheduledFault,
} from "./process_fault.ts";
import {
  findBreaches,
  type RequestRun,
  type SentRequest,
} from "./soak_checks.ts";

const ZONES = [2, 2] as const;
const SERVER_COUNT = 4;
const FAULT_COUNT = 8;
const REQUEST_INTERVAL_MS = 15;
const WORK_MS = 20;
const STATUS_OK = 200;
const KEY = "key-of-dance";
const TIME_LEFT_MS = 2_000;
/** Time that a caller gives a VM that answers nothing. */
const LEAVE_AFTER_MS = TIME_LEFT_MS + 500;
/** For the end of the process itself, on a busy machine. */
const EXIT_MARGIN_MS = 1_000;
const RECOVERY_LIMIT_MS = 15_000;
const PROBES_AFTER = 20;

/** What a run is made of. */
export interface ProcessSoakOptions {
  readonly seed: number;
  readonly lengthMs: number;
}

/** What a run showed. */
export interface ProcessSoakResult {
  readonly faults: readonly ScheduledFault[];
  readonly sent: number;
  readonly served: number;
  readonly breaches: readonly string[];
  /** What each VM wrote. */
  readonly logs: readonly string[];
}

/** One run of a fleet through faults, from its start to its recovery. */
export class ProcessSoak {
  readonly #options: ProcessSoakOptions;
  readonly #fleet = new FleetProcesses();
  readonly #random: SeededRandomSource;
  readonly #sent: SentRequest[] = [];
  readonly #breaches: string[] = [];
  readonly #frozen = new Set<VmProcessHandle>();

  /**
   * Prepares a run.
   *
   * @param options - what it is made of
   */
  constructor(options: ProcessSoakOptions) {
    this.#options = options;
    this.#random = new SeededRandomSource(options.seed);
  }

  /**
   * Runs everything.
   *
   * @returns what was seen
   */
  async run(): Promise<ProcessSoakResult> {
    const { seed, lengthMs } = this.#options;
    const faults = generateSchedule(seed, {
      vms: ZONES.reduce((sum, count) => sum + count, 0),
      servers: SERVER_COUNT,
      faults: FAULT_COUNT,
      lengthMs,
    });
    try {
      await this.#fleet.start({ servers: SERVER_COUNT, zones: ZONES });
      for (const server of this.#fleet.servers) {
        server.workMs = WORK_MS;
      }
      await Promise.all([
        this.#sendRequests(lengthMs),
        ...faults.map((scheduled) => this.#runFault(scheduled)),
      ]);
      await this.#checkRecovery();
    } finally {
      await this.#fleet.stop();
    }
    return {
      faults,
      sent: this.#sent.length,
      served: this.#sent.filter(({ answer }) => answer?.status === STATUS_OK)
        .length,
      breaches: [
        ...this.#breaches,
        ...findBreaches({ sent: this.#sent, runs: this.#listRuns() }),
      ],
      logs: this.#fleet.vms.map(({ log }) => log),
    };
  }

  async #sendRequests(lengthMs: number): Promise<void> {
    const endAtMs = Date.now() + lengthMs;
    const running: Promise<unknown>[] = [];
    while (Date.now() < endAtMs) {
      running.push(this.#sendRequest());
      await waitMs(REQUEST_INTERVAL_MS);
    }
    await Promise.all(running);
  }

  async #sendRequest(): Promise<boolean> {
    const zone = `zone-${this.#random.pickIndex(ZONES.length)}`;
    const isRepeatable = this.#random.takeUnit() < 0.5;
    const index = this.#sent.length;
    const request: SentRequest = {
      id: `soak-${index}`,
      target: isRepeatable ? `/read/${index}` : `/book/${index}`,
      isRepeatable,
      answer: undefined,
      answeredId: undefined,
    };
    this.#sent.push(request);
    const vm = await this.#findVm(zone);
    const answer = vm && await this.#fleet.send(vm, {
      path: request.target,
      method: isRepeatable ? "GET" : "POST",
      key: KEY,
      id: request.id,
      timeLeftMs: TIME_LEFT_MS,
      leaveAfterMs: LEAVE_AFTER_MS,
      ...isRepeatable ? {} : { body: "deposit" },
    });
    const answeredId = answer?.headers[WIRE_HEADER.requestId];
    this.#sent[index] = {
      ...request,
      answer,
      answeredId: typeof answeredId === "string" ? answeredId : undefined,
    };
    return answer?.status === STATUS_OK;
  }

  // Callers ask any VM of their zone that answers.
  async #findVm(zone: string): Promise<VmProcessHandle | undefined> {
    const ofZone = this.#fleet.vms.filter((vm) => vm.zone === zone);
    const first = this.#random.pickIndex(ofZone.length);
    for (let step = 0; step < ofZone.length; step++) {
      const asked = ofZone[(first + step) % ofZone.length];
      const found = asked && await this.#fleet.findNamedVm(asked, zone);
      if (found !== undefined) {
        return found;
      }
    }
    return undefined;
  }

  async #runFault({ atMs, forMs, fault }: ScheduledFault): Promise<void> {
    await waitMs(atMs);
    const mend = this.#applyFault(fault);
    await waitMs(forMs);
    await mend();
  }

  // Returns what mends the fault.
  #applyFault(fault: ProcessFault): () => Promise<void> | void {
    const { vms, store, storeLinks } = this.#fleet;
    switch (fault.kind) {
      case "kill":
        return this.#stopVms([vms[fault.vm]], "SIGKILL");
      case "planned-stop":
        return this.#stopVms([vms[fault.vm]], "SIGTERM");
      case "power-loss":
        return this.#stopVms(vms, "SIGKILL");
      case "freeze":
        return this.#stopForAWhile(vms[fault.vm]);
      case "store":
        store.fault = fault.fault;
        return () => {
          store.fault = STORE_FAULT.none;
        };
      case "history-dropped":
        store.dropAllHistory();
        return () => undefined;
      case "store-link":
        storeLinks[fault.vm]?.setFault(fault.fault);
        return () => storeLinks[fault.vm]?.setFault(LINK_FAULT.none);
      case "server":
      case "server-link":
      case "server-leaves":
        return this.#applyServerFault(fault);
    }
  }

  #applyServerFault(
    fault: Extract<ProcessFault, { readonly server: number }>,
  ): () => void {
    const server = this.#fleet.servers[fault.server];
    const link = this.#fleet.serverLinks[fault.server];
    if (server === undefined || link === undefined) {
      throw new Error(`there is no server ${fault.server}`);
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
    }
  }

  #stopVms(
    vms: readonly (VmProcessHandle | undefined)[],
    signal: NodeJS.Signals,
  ): () => Promise<void> {
    const startedAtMs = Date.now();
    const ending = vms.filter((vm) => vm !== undefined).map((vm) => {
      vm.send(signal);
      const exited = vm.waitExit().then(() => {
        this.#checkGracePeriod(vm, Date.now() - startedAtMs);
      });
      return { vm, exited };
    });
    return async () => {
      for (const { vm, exited } of ending) {
        // A frozen process ends once it goes on.
        vm.send("SIGCONT");
        await exited;
        await this.#fleet.startAgain(vm);
      }
    };
  }

  #stopForAWhile(vm: VmProcessHandle | undefined): () => void {
    if (vm === undefined) {
      return () => undefined;
    }
    this.#frozen.add(vm);
    vm.send("SIGSTOP");
    return () => {
      vm.send("SIGCONT");
    };
  }

  // A process that was frozen meanwhile is not judged.
  #checkGracePeriod(vm: VmProcessHandle, tookMs: number): void {
    const limitMs = GRACE_PERIOD_SECONDS * 1_000 + EXIT_MARGIN_MS;
    if (tookMs > limitMs && !this.#frozen.has(vm)) {
      this.#breaches.push(`${vm.id} took ${tookMs} ms to stop`);
    }
  }

  async #checkRecovery(): Promise<void> {
    const startedAtMs = Date.now();
    for (const vm of this.#fleet.vms) {
      vm.send("SIGCONT");
      await this.#fleet.startAgain(vm);
    }
    let served = 0;
    while (served < PROBES_AFTER) {
      if (Date.now() - startedAtMs > RECOVERY_LIMIT_MS) {
        this.#breaches.push(`not served again in ${RECOVERY_LIMIT_MS} ms`);
        return;
      }
      served = await this.#sendRequest() ? served + 1 : 0;
      await waitMs(REQUEST_INTERVAL_MS);
    }
  }

  #listRuns(): readonly RequestRun[] {
    return this.#fleet.servers.flatMap((server) =>
      server.served.filter(({ hasRun }) => hasRun).map((run) => ({
        id: String(run.headers[WIRE_HEADER.requestId]),
        target: run.target,
      }))
    );
  }
}

async function waitMs(milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}
