/** Runs a fleet of processes through a schedule of faults. */

import { SeededRandomSource } from "@limpetford/core/time/random_source";

import { FleetProcesses } from "../fleet/fleet_processes.ts";
import type { VmProcessHandle } from "../fleet/vm_process_handle.ts";
import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import { FaultPlayer } from "./fault_player.ts";
import { generateSchedule, type ScheduledFault } from "./process_fault.ts";
import {
  findBreaches,
  type RequestRun,
  type SentRequest,
} from "./soak_checks.ts";
import { waitMs } from "./wait_ms.ts";

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
  readonly #player = new FaultPlayer(this.#fleet);

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
        server.processingMs = WORK_MS;
      }
      await Promise.all([
        this.#sendRequests(lengthMs),
        ...faults.map((scheduled) => this.#player.run(scheduled)),
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
        ...this.#player.breaches,
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
    const isRepeatable = this.#random.sampleUniform() < 0.5;
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
      abortAfterMs: LEAVE_AFTER_MS,
      ...isRepeatable ? {} : { body: "deposit" },
    });
    const answeredId = answer?.headers[PROTOCOL_HEADER.requestId];
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
      const found = asked && await this.#fleet.resolveLeader(asked, zone);
      if (found !== undefined) {
        return found;
      }
    }
    return undefined;
  }

  async #checkRecovery(): Promise<void> {
    const startedAtMs = Date.now();
    for (const vm of this.#fleet.vms) {
      vm.sendSignal("SIGCONT");
      await this.#fleet.startIfStopped(vm);
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
      server.received.filter(({ hasRun }) => hasRun).map((run) => ({
        id: String(run.headers[PROTOCOL_HEADER.requestId]),
        target: run.target,
      }))
    );
  }
}
