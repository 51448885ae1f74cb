/** Runs one entry VM until the process is told to stop. */

import { randomInt } from "node:crypto";

import { SeededRandomSource } from "@limpetford/core/time/random_source";
import { BUILD } from "@limpetford/domain/build";
import { formatAddress } from "@limpetford/domain/vm";
import { HttpLogService } from "@limpetford/platform/http/http_log_service";
import { HttpVmList } from "@limpetford/platform/http/http_vm_list";
import type { LogService } from "@limpetford/platform/log_service";
import type { VmList } from "@limpetford/platform/vm_list";

import type { ProcessSettings } from "../settings/process_settings.ts";
import {
  buildOtlpExporter,
  OtelSpanRecorder,
} from "../telemetry/otel_span_recorder.ts";
import { ServingMetrics } from "../telemetry/serving_metrics.ts";
import type { SpanRecorder } from "../telemetry/span_recorder.ts";
import { StateLog } from "../telemetry/state_log.ts";
import { StateLogExceptions } from "../telemetry/state_log_exceptions.ts";
import { StatsdMetrics } from "../telemetry/statsd_metrics.ts";
import { EntryVm } from "../vm/entry_vm.ts";
import { SystemClock } from "../vm/system_clock.ts";
import { EXIT_CODE } from "./exit_code.ts";
import { waitStopSignal } from "./stop_signal.ts";
import { UncaughtExceptions } from "./uncaught_exceptions.ts";

const SEED_RANGE = 0x7fff_ffff;

/**
 * Connects a VM to the platform and to its telemetry, and runs it until SIGTERM
 * or SIGINT.
 */
export class VmProcess {
  readonly #settings: ProcessSettings;
  readonly #log: StateLog;
  readonly #metrics: ServingMetrics;
  readonly #spans: SpanRecorder | undefined;

  /**
   * Opens the log, the metrics and the traces.
   *
   * @param settings - settings of the process
   */
  constructor(settings: ProcessSettings) {
    this.#settings = settings;
    const { telemetry, vm } = settings;
    const name = vm.self.incarnation.vm;
    const { zone } = vm.self;
    this.#log = new StateLog({ level: telemetry.logLevel, vm: name });
    this.#metrics = telemetry.statsd === undefined
      ? new ServingMetrics()
      : new StatsdMetrics({ server: telemetry.statsd, vm: name, zone });
    this.#spans = telemetry.traces === undefined
      ? undefined
      : new OtelSpanRecorder({
        exporter: buildOtlpExporter(telemetry.traces),
        share: telemetry.traceShare,
        vm: name,
        zone,
      });
  }

  /**
   * Runs until SIGTERM or SIGINT.
   *
   * @returns true if the VM stopped without aborting a request; false if it
   * failed to start, the drain timed out, or something threw that nothing caught
   */
  async run(): Promise<boolean> {
    const exceptions = this.#observeExceptions();
    const stopRequested = waitStopSignal();
    const { platform } = this.#settings;
    const log = new HttpLogService(platform.log);
    const vmList = new HttpVmList(platform.vmList);
    try {
      const vm = await Promise.race([
        this.#start(log, vmList),
        exceptions.waitFirst().then(() => {
          throw new Error("an exception that nothing caught");
        }),
      ]);
      await Promise.race([stopRequested, exceptions.waitFirst()]);
      return await this.#stop(vm) && !exceptions.hasOccurred;
    } catch (error) {
      const cause = error instanceof Error ? error.message : String(error);
      this.#log.record({ kind: "start-failed", cause });
      return false;
    } finally {
      await log.close();
      await vmList.close();
      await this.#metrics.close();
      await this.#spans?.close();
      if (exceptions.hasOccurred) {
        // What the exception cut short may hold the process.
        process.exit(EXIT_CODE.failed);
      }
    }
  }

  #observeExceptions(): UncaughtExceptions {
    return new UncaughtExceptions({
      count: () => {
        this.#metrics.count("uncaught_exceptions");
      },
      log: (report) => {
        this.#log.record({ kind: "exception-uncaught", ...report });
      },
    });
  }

  async #start(log: LogService, vmList: VmList): Promise<EntryVm> {
    const vm = await EntryVm.create(this.#settings.vm, {
      log,
      vmList,
      clock: new SystemClock(),
      random: new SeededRandomSource(randomInt(SEED_RANGE)),
      metrics: this.#metrics,
      exceptions: new StateLogExceptions(this.#log, this.#metrics),
      ...this.#spans === undefined ? {} : { spans: this.#spans },
    });
    this.#recordConfigurationChanges(vm);
    const caller = await vm.start();
    this.#log.record({
      kind: "started",
      build: BUILD,
      caller: formatAddress(caller),
      operator: formatAddress(vm.settings.operatorAddress),
    });
    return vm;
  }

  #recordConfigurationChanges(vm: EntryVm): void {
    const { configuration } = vm.parts.ports;
    let lastVersion: number | undefined;
    configuration.subscribe(() => {
      const version = configuration.readConfiguration()?.version;
      if (version !== undefined && version !== lastVersion) {
        lastVersion = version;
        this.#log.record({ kind: "configuration-in-force", version });
      }
    });
  }

  async #stop(vm: EntryVm): Promise<boolean> {
    this.#log.record({ kind: "drain-started" });
    const isDrained = await isCompletedWithin(
      vm.drain(),
      this.#settings.vm.drainTimeoutMs,
    );
    if (!isDrained) {
      this.#log.record({ kind: "drain-timed-out" });
      await vm.stop();
    }
    this.#log.record({ kind: "stopped" });
    return isDrained;
  }
}

async function isCompletedWithin(
  work: Promise<void>,
  timeoutMs: number,
): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const timedOut = new Promise<boolean>((resolve) => {
    timer = setTimeout(() => {
      resolve(false);
    }, timeoutMs);
  });
  const done = work.then(() => true);
  try {
    return await Promise.race([done, timedOut]);
  } finally {
    clearTimeout(timer);
  }
}
