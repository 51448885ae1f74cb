/** Soak test of a fleet of processes under a random schedule of faults. */

import { SeededRandomSource } from "@limpetford/core/time/random_source";

import { FleetProcesses } from "../fleet/fleet_processes.ts";
import { publishServer } from "../platform/published_records.ts";
import { REPEATED_REFUSAL } from "../platform/repeated_refusal.ts";
import { FaultInjector } from "./fault_injector.ts";
import { generateSchedule, type ScheduledFault } from "./process_fault.ts";
import { SoakCallers, VM_HEADER } from "./soak_callers.ts";
import {
  findLateRuns,
  findLimitExcess,
  findRequestsAfterLeaving,
  findRequestsInPauses,
  findViolations,
  type ReceivedFromVm,
} from "./soak_checks.ts";

/** Number of VMs in each zone. */
const ZONES = [2, 2] as const;
const SERVER_COUNT = 4;
const FAULT_COUNT = 8;
const PROCESSING_MS = 20;
const STATUS_OK = 200;
const MAX_RECOVERY_MS = 15_000;
const CRASHING_TARGETS = ["/read/crash", "/book/crash"] as const;
const CRASH_DELAY_MS = 40;
const CRASH_DOWN_MS = 1_200;
/** How long requests are sent after the faults have ended. */
const AFTER_FAULTS_MS = 6_000;
/** Rate limits, of which one server names one, in requests per second. */
const NAMED_LIMITS = [0, 0.5, 2, 5] as const;
/** Servers that say they leave, or turn requests away, after the faults. */
const LEAVING_SERVER = 1;
const PAUSED_SERVER = 2;
const PAUSE_MS = 2_500;
/**
 * Server that is announced under a former identifier as well, refuses what is sent
 * to that, and writes each refusal once more.
 */
const REPEATING_SERVER = 3;
const FORMER_ID = "i-former";

/** Seed and length of a run. */
export interface ProcessSoakOptions {
  /** Equal seeds give the same faults at the same times. */
  readonly seed: number;
  /** Time during which requests are sent and faults injected. */
  readonly lengthMs: number;
}

/** Result of a run. */
export interface ProcessSoakResult {
  readonly faults: readonly ScheduledFault[];
  /** Number of requests sent. */
  readonly sent: number;
  /** Number of requests answered 200. */
  readonly served: number;
  /** A message for each violated invariant; empty if the run passed. */
  readonly violations: readonly string[];
  /** Output of each VM's process. */
  readonly logs: readonly string[];
}

/** One run: starts a fleet, injects faults under load and checks recovery. */
export class ProcessSoak {
  readonly #options: ProcessSoakOptions;
  readonly #fleet = new FleetProcesses();
  readonly #callers: SoakCallers;
  readonly #violations: string[] = [];
  readonly #faultInjector = new FaultInjector(this.#fleet);
  readonly #crashingTarget: string;
  readonly #namedLimit: number;
  #faultsEndedAtMs = Infinity;
  #noticesBeginAtMs = Infinity;

  /**
   * Creates a run without starting anything.
   *
   * @param options - seed and length
   */
  constructor(options: ProcessSoakOptions) {
    this.#options = options;
    const random = new SeededRandomSource(options.seed);
    this.#crashingTarget =
      CRASHING_TARGETS[random.pickIndex(CRASHING_TARGETS.length)] ?? "";
    this.#callers = new SoakCallers({
      fleet: this.#fleet,
      random,
      crashingTarget: this.#crashingTarget,
    });
    this.#namedLimit = NAMED_LIMITS[options.seed % NAMED_LIMITS.length] ?? 0;
  }

  /**
   * Runs the fleet under load and faults, and stops it afterwards.
   *
   * @returns the faults, counts and violations seen
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
        server.processingMs = PROCESSING_MS;
        server.crashBehavior = {
          isCrashing: ({ target }) => target === this.#crashingTarget,
          delayMs: CRASH_DELAY_MS,
          downMs: CRASH_DOWN_MS,
        };
      }
      const [limited] = this.#fleet.servers;
      if (limited !== undefined) {
        limited.chooseNamedLimit = () => String(this.#namedLimit);
      }
      this.#setRepeatedRefusals();
      const crashing = this.#callers.sendCrashingRequests(
        lengthMs + AFTER_FAULTS_MS,
      );
      await Promise.all([
        this.#callers.sendRequests(lengthMs),
        ...faults.map((scheduled) => this.#faultInjector.run(scheduled)),
      ]);
      await this.#checkRecovery();
      this.#setServerNotices();
      await Promise.all([
        this.#callers.sendRequests(AFTER_FAULTS_MS),
        crashing,
      ]);
    } finally {
      await this.#fleet.stop();
    }
    return {
      faults,
      sent: this.#callers.sent.length,
      served:
        this.#callers.sent.filter(({ response }) =>
          response?.status === STATUS_OK
        )
          .length,
      violations: [
        ...this.#violations,
        ...this.#faultInjector.violations,
        ...findLateRuns({
          ranAtMs: this.#callers.listCrashingRuns(),
          faultsEndedAtMs: this.#faultsEndedAtMs,
        }),
        ...findLimitExcess({
          limit: this.#namedLimit,
          receivedAtMs: this.#fleet.servers[0]?.received.map(
            ({ receivedAtMs }) => receivedAtMs,
          ) ?? [],
          faultsEndedAtMs: this.#faultsEndedAtMs,
        }),
        ...findRequestsAfterLeaving(
          this.#listAfterFaults(LEAVING_SERVER),
          PROCESSING_MS,
        ),
        ...findRequestsInPauses(this.#listAfterFaults(PAUSED_SERVER), {
          processingMs: PROCESSING_MS,
          pauseMs: PAUSE_MS,
        }),
        ...findViolations({
          sent: this.#callers.sent,
          runs: this.#callers.listRuns(),
        }),
      ],
      logs: this.#fleet.vms.map(({ log }) => log),
    };
  }

  async #checkRecovery(): Promise<void> {
    const startedAtMs = Date.now();
    for (const vm of this.#fleet.vms) {
      vm.sendSignal("SIGCONT");
      await this.#fleet.startIfStopped(vm);
    }
    this.#faultsEndedAtMs = Date.now();
    if (!await this.#callers.waitForRecovery(startedAtMs + MAX_RECOVERY_MS)) {
      this.#violations.push(
        `the fleet did not recover within ${MAX_RECOVERY_MS} ms`,
      );
    }
  }

  #setRepeatedRefusals(): void {
    const server = this.#fleet.servers[REPEATING_SERVER];
    const link = this.#fleet.serverLinks[REPEATING_SERVER];
    if (server !== undefined && link !== undefined) {
      server.repeatedRefusal = REPEATED_REFUSAL.identified;
      publishServer(this.#fleet.store, {
        id: FORMER_ID,
        address: link.address,
        isLeaving: false,
        sequence: 1,
      });
    }
  }

  // After the faults one server leaves and one wants nothing, by their answers.
  #setServerNotices(): void {
    const { servers } = this.#fleet;
    this.#noticesBeginAtMs = Date.now();
    const leaving = servers[LEAVING_SERVER];
    const paused = servers[PAUSED_SERVER];
    if (leaving !== undefined && paused !== undefined) {
      leaving.isSayingLeaving = true;
      paused.chooseRetryAfter = (): string => String(PAUSE_MS / 1_000);
    }
  }

  #listAfterFaults(server: number): readonly ReceivedFromVm[] {
    const received = this.#fleet.servers[server]?.received ?? [];
    return received.filter(({ receivedAtMs }) =>
      receivedAtMs > this.#noticesBeginAtMs
    ).map(({ headers, receivedAtMs }) => ({
      vm: String(headers[VM_HEADER]),
      atMs: receivedAtMs,
    }));
  }
}
