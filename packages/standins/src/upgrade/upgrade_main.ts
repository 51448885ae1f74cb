/** Command that replaces the build of a fleet under load and checks what is seen. */

import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";

import { Cli, Command, Option, UsageError } from "clipanion";

import {
  isOfLimitedTeam,
  type ObservedRequest,
} from "../process_soak/soak_callers.ts";
import {
  BuildError,
  prepareBuild,
  prepareWorkingCopy,
} from "./build_folder.ts";
import { PROBE_TARGET } from "./mixed_phase.ts";
import { renderUpgradePage } from "./upgrade_page.ts";
import { type UpgradeResult, UpgradeRun } from "./upgrade_run.ts";

const STATUS_OK = 200;

class UpgradeCommand extends Command {
  readonly from = Option.String("--from", { required: true });
  readonly isBack = Option.Boolean("--back", false);
  readonly seed = Option.String("--seed", "1");
  readonly report = Option.String("--report", "out/upgrade.html");
  /** Runs the first build alone, to see which rules it breaks by itself. */
  readonly isAlone = Option.Boolean("--alone", false);

  override async execute(): Promise<number> {
    const from = findBuild(this.from);
    const to = this.isAlone ? from : prepareWorkingCopy();
    const seed = Number(this.seed);
    const result = await new UpgradeRun({
      from,
      to,
      isBack: this.isBack,
      seed,
    }).run();
    const { resolve } = createRequire(import.meta.url);
    mkdirSync(dirname(this.report), { recursive: true });
    writeFileSync(
      this.report,
      renderUpgradePage(result, {
        script: readFileSync(resolve("uplot/dist/uPlot.iife.min.js"), "utf8"),
        style: readFileSync(resolve("uplot/dist/uPlot.min.css"), "utf8"),
      }),
    );
    writeLogs(`${this.report}.logs`, result);
    const { violations, startedAtMs, endedAtMs } = result;
    const usual = listUsual(result.sent);
    const served = usual.filter(({ response }) =>
      response?.status === STATUS_OK
    );
    const unanswered = usual.filter(({ response }) =>
      (response?.status ?? 0) === 0
    );
    const seconds = Math.round((endedAtMs - startedAtMs) / 1_000);
    this.context.stdout.write(
      [
        `${from.name} to ${to.name}${this.isBack ? " and back" : ""}, seed ` +
        `${seed}, ${seconds} s: ${served.length} of ${usual.length} served, ` +
        `${unanswered.length} unanswered, ${violations.length} violations`,
        ...violations,
        this.report,
        "",
      ].join("\n"),
    );
    return violations.length === 0 ? 0 : 1;
  }
}

function writeLogs(
  folder: string,
  { lives, startedAtMs }: UpgradeResult,
): void {
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(folder);
  for (const { vm, build, fromMs, log } of lives) {
    const name = `${vm} from ${fromMs - startedAtMs} ms, ${build}.log`;
    writeFileSync(join(folder, name), log);
  }
}

// Requests that every VM should serve.
function listUsual(
  sent: readonly ObservedRequest[],
): readonly ObservedRequest[] {
  return sent.filter(({ target, isCrashing }) =>
    !isCrashing && !isOfLimitedTeam(target) && target !== PROBE_TARGET
  );
}

function findBuild(commit: string): ReturnType<typeof prepareBuild> {
  try {
    return prepareBuild(commit);
  } catch (error) {
    throw error instanceof BuildError ? new UsageError(error.message) : error;
  }
}

const cli = new Cli({ binaryName: "npm run upgrade --" });
cli.register(UpgradeCommand);
await cli.runExit(process.argv.slice(2));
