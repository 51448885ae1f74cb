/** The time in which half the fleet has another build, and no fault is injected. */

import type { FleetProcesses } from "../fleet/fleet_processes.ts";
import type { VmProcessHandle } from "../fleet/vm_process_handle.ts";
import type { ConfigurationOverrides } from "../platform/published_records.ts";
import type { ServerStandin } from "../platform/server_standin.ts";
import { type SoakCallers, VM_HEADER } from "../process_soak/soak_callers.ts";
import type { ReceivedFromVm } from "../process_soak/soak_checks.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import {
  findLateKeys,
  findSentToLeaving,
  findUnquarantined,
  type VmProbe,
} from "./fleet_checks.ts";

const PHASE_MS = 6_500;
const PROBE_INTERVAL_MS = 250;
/** Servers that leave, by their answers and by their announcement. */
const SAYING_SERVER = 1;
const ANNOUNCED_SERVER = 2;
/** Target of the requests with other keys than those of the load. */
export const PROBE_TARGET = "/read/probe";

/** Fleet, its callers, and what is changed. */
export interface MixedPhaseOptions {
  readonly fleet: FleetProcesses;
  readonly callers: SoakCallers;
  /** Target of the request that crashes servers, which callers send already. */
  readonly crashingTarget: string;
  /** Time until a server answers. */
  readonly processingMs: number;
  /** Finds the name of the build that a VM runs. */
  readonly findBuildName: (vm: VmProcessHandle) => string;
  /** Configuration with the new key in place of the withdrawn one. */
  readonly configuration: ConfigurationOverrides;
  readonly withdrawnKey: string;
  readonly newKey: string;
}

interface Probing {
  readonly target: string;
  readonly key?: string;
}

/** Changes the configuration, lets servers leave and sends a deadly request. */
export class MixedPhase {
  readonly #options: MixedPhaseOptions;

  /**
   * Creates a phase that has not begun.
   *
   * @param options - fleet, callers and changes
   */
  constructor(options: MixedPhaseOptions) {
    this.#options = options;
  }

  /**
   * Runs the phase.
   *
   * @returns a message for each broken rule
   */
  async run(): Promise<readonly string[]> {
    const { fleet, configuration, processingMs } = this.#options;
    const saying = fleet.servers[SAYING_SERVER];
    const announced = fleet.servers[ANNOUNCED_SERVER];
    if (saying === undefined || announced === undefined) {
      throw new Error("the fleet has too few servers");
    }
    const startedAtMs = Date.now();
    fleet.publishNextConfiguration(configuration);
    fleet.publishLeaving(announced);
    saying.isSayingLeaving = true;
    const [withdrawnKey, newKey] = await Promise.all([
      this.#probeUntil(startedAtMs + PHASE_MS, this.#options.withdrawnKey),
      this.#probeUntil(startedAtMs + PHASE_MS, this.#options.newKey),
    ]);
    const leaving = {
      bySayingSo: this.#listReceived(saying, startedAtMs),
      byAnnouncement: this.#listReceived(announced, startedAtMs),
    };
    saying.isSayingLeaving = false;
    fleet.publishLeaving(announced, false);
    // What VMs know of a server's leaving stands until it starts again.
    fleet.publishRestart(saying);
    fleet.publishRestart(announced);
    return [
      ...findLateKeys({ publishedAtMs: startedAtMs, withdrawnKey, newKey }),
      ...findSentToLeaving({
        ...leaving,
        announcedAtMs: startedAtMs,
        processingMs,
      }),
      ...findUnquarantined(
        await this.#probeAll({ target: this.#options.crashingTarget }),
      ),
    ];
  }

  async #probeUntil(endAtMs: number, key: string): Promise<readonly VmProbe[]> {
    const probes: VmProbe[] = [];
    while (Date.now() < endAtMs) {
      probes.push(...await this.#probeAll({ target: PROBE_TARGET, key }));
      await waitMs(PROBE_INTERVAL_MS);
    }
    return probes;
  }

  async #probeAll({ target, key }: Probing): Promise<readonly VmProbe[]> {
    const { fleet, callers, findBuildName } = this.#options;
    return await Promise.all(fleet.vms.map(async (vm) => {
      const { response, sentAtMs } = await callers.sendTo(vm, target, key);
      return {
        vm: vm.id,
        build: findBuildName(vm),
        atMs: sentAtMs,
        status: response?.status ?? 0,
        body: response?.body ?? "",
      };
    }));
  }

  // Names VMs with the builds that they run in this phase.
  #listReceived(
    { received }: ServerStandin,
    fromMs: number,
  ): readonly ReceivedFromVm[] {
    const { fleet, findBuildName } = this.#options;
    const names = new Map(
      fleet.vms.map((vm) => [vm.id, `${vm.id} (${findBuildName(vm)})`]),
    );
    return received.filter(({ receivedAtMs }) => receivedAtMs > fromMs).map((
      { headers, receivedAtMs },
    ) => ({
      vm: names.get(String(headers[VM_HEADER])) ?? "",
      atMs: receivedAtMs,
    }));
  }
}
