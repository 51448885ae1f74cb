/** The `fleet` command: runs one VM that uses the platform's store. */

import { randomInt } from "node:crypto";
import { getHeapStatistics } from "node:v8";

import { SeededRandomSource } from "@limpetford/core/time/random_source";
import { Command, Option } from "clipanion";

import { FleetExceptions } from "../fleet/fleet_exceptions.ts";
import { FleetLog } from "../fleet/fleet_log.ts";
import {
  type FleetSettings,
  loadFleetSettings,
} from "../fleet/fleet_settings.ts";
import { FleetVm } from "../fleet/fleet_vm.ts";
import { InputLimiter } from "../http/input_limiter.ts";
import { formatSettingsError } from "../settings/settings_error.ts";
import { PrometheusMetrics } from "../telemetry/prometheus_metrics.ts";
import { SystemClock } from "../vm/system_clock.ts";
import { EXIT_CODE } from "./exit_code.ts";
import { waitStopSignal } from "./stop_signal.ts";
import { UncaughtExceptions } from "./uncaught_exceptions.ts";

/** Share of the grace period after which the process exits in any case. */
const FORCED_EXIT_SHARE = 0.95;
const SEED_RANGE = 0x7fff_ffff;
const SETTINGS_VARIABLE = "LIMPETFORD_SETTINGS";

/** Runs a VM that finds its configuration, servers and peers in the store. */
export class FleetCommand extends Command {
  static override paths = [["fleet"]];
  static override usage = Command.Usage({
    description: "run one VM that uses the platform's store",
    details: "Runs until SIGTERM or SIGINT, then stops within the grace " +
      "period. The settings file is given by --settings or by " +
      `${SETTINGS_VARIABLE}. Exit codes: 0 stopped gracefully, 1 failed to ` +
      "start or to stop in time or stopped by an exception, 2 invalid settings.",
    examples: [
      ["Run", "$0 fleet --settings /etc/limpetford.yaml"],
      ["Check settings only", "$0 fleet --settings FILE --check-settings"],
    ],
  });
  settings = Option.String("--settings", {
    description: "YAML file; see docs/operators/fleet_settings.md",
  });
  checkSettings = Option.Boolean("--check-settings", false, {
    description: "check the file and exit",
  });

  override async execute(): Promise<number> {
    const file = this.settings ?? process.env[SETTINGS_VARIABLE];
    if (file === undefined) {
      this.context.stderr.write(
        `no settings file: set --settings or ${SETTINGS_VARIABLE}\n`,
      );
      return EXIT_CODE.invalidSettings;
    }
    const loaded = await loadFleetSettings(file, Date.now());
    if (!loaded.ok) {
      for (const error of loaded.error) {
        this.context.stderr.write(`${formatSettingsError(error)}\n`);
      }
      return EXIT_CODE.invalidSettings;
    }
    if (this.checkSettings) {
      this.context.stdout.write("settings are valid\n");
      return EXIT_CODE.stopped;
    }
    return await runVm(loaded.value, file);
  }
}

async function runVm(settings: FleetSettings, file: string): Promise<number> {
  const clock = new SystemClock();
  const log = new FleetLog({
    clock,
    level: settings.logLevel,
    vm: settings.self.incarnation.vm,
  });
  const metrics = new PrometheusMetrics();
  const exceptions = new UncaughtExceptions({
    count: () => {
      metrics.count("uncaught_exceptions");
    },
    log: (report) => {
      log.record("exception-uncaught", report);
    },
  });
  const stopRequested = waitStopSignal();
  process.on("SIGHUP", () => {
    void reportReload(file, log);
  });
  try {
    const random = new SeededRandomSource(randomInt(SEED_RANGE));
    const vm = new FleetVm(settings, {
      clock,
      random,
      log,
      metrics,
      heapLimitBytes: getHeapStatistics().heap_size_limit,
      inputs: new InputLimiter(clock, metrics),
      exceptions: new FleetExceptions(log, metrics),
    });
    await startUnlessThrown(vm, exceptions);
    await Promise.race([stopRequested, exceptions.waitFirst()]);
    await stopVm(vm, settings, exceptions);
    return exceptions.hasOccurred ? EXIT_CODE.failed : EXIT_CODE.stopped;
  } catch (error) {
    const cause = error instanceof Error ? error.message : String(error);
    log.record("start-failed", { cause });
    return EXIT_CODE.failed;
  } finally {
    await metrics.close();
    await log.close();
    if (exceptions.hasOccurred) {
      // What the exception cut short may hold the process.
      process.exit(EXIT_CODE.failed);
    }
  }
}

// A stop that an exception cuts short leaves what is in flight its time.
async function stopVm(
  vm: FleetVm,
  { gracePeriodMs }: FleetSettings,
  exceptions: UncaughtExceptions,
): Promise<void> {
  const forcedExit = setTimeout(() => {
    process.exit(EXIT_CODE.failed);
  }, gracePeriodMs * FORCED_EXIT_SHARE).unref();
  try {
    await vm.drain();
  } catch (error) {
    exceptions.report(error);
    forcedExit.ref();
    await new Promise(() => undefined);
  }
}

// A start that an exception cuts short might never end.
async function startUnlessThrown(
  vm: FleetVm,
  exceptions: UncaughtExceptions,
): Promise<void> {
  await Promise.race([
    vm.start(),
    exceptions.waitFirst().then(() => {
      throw new Error("an exception that nothing caught");
    }),
  ]);
}

// Logs whether the changed file is valid. Its values are not applied: addresses
// and bounds are fixed until the next start of the process.
async function reportReload(file: string, log: FleetLog): Promise<void> {
  const loaded = await loadFleetSettings(file, Date.now());
  log.record("settings-reloaded", { isValid: loaded.ok });
}
