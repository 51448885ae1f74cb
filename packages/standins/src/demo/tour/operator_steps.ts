/** Steps that check the operator's tool, limpetctl. */

import { randomUUID } from "node:crypto";
import { PassThrough } from "node:stream";
import { text } from "node:stream/consumers";

import { buildCli } from "@limpetford/ctl/cli/build_cli";
import { buildMachineEnvironment } from "@limpetford/ctl/cli/ctl_connections";
import { Cli } from "clipanion";

import { DemoCaller, formatResponse } from "../demo_caller.ts";
import type { DemoFleet } from "../demo_fleet.ts";
import type { TourObservation } from "./tour_step.ts";
import { TourStep, waitUntil } from "./tour_step.ts";

const PROPAGATION_TIMEOUT_MS = 5_000;

interface CommandResult {
  readonly exitCode: number;
  readonly output: string;
}

/** Withdraws a key with limpetctl while the log is unavailable. */
export class WithdrawalDuringOutageStep extends TourStep {
  override readonly guarantee =
    "during a log outage, every VM refuses a withdrawn key within 5 s";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const path = fleet.profile.readPath;
    const issued = await runCommand(fleet, [
      "key",
      "issue",
      fleet.profile.largeTeam,
      "--json",
    ]);
    const { key, hash } = JSON.parse(issued.output) as {
      readonly key: string;
      readonly hash: string;
    };
    const callers = [...fleet.vms.values()].map((vm) =>
      new DemoCaller(vm.callerAddress)
    );
    const allRespondWith = async (expected: string): Promise<boolean> => {
      const responses = await Promise.all(
        callers.map((caller) => caller.send({ path, key })),
      );
      return responses.every((response) =>
        formatResponse(response) === expected
      );
    };
    const acceptedMs = await waitUntil(
      PROPAGATION_TIMEOUT_MS,
      () => allRespondWith("200"),
    );
    fleet.platform.logFaults.isUnavailable = true;
    const withdrawn = await runCommand(fleet, ["key", "withdraw", hash]);
    const refusedMs = await waitUntil(
      PROPAGATION_TIMEOUT_MS,
      () => allRespondWith("401 not-run"),
    );
    fleet.platform.logFaults.isUnavailable = false;
    const repeated = await runCommand(fleet, ["key", "withdraw", hash]);
    await Promise.all(callers.map((caller) => caller.close()));
    return {
      summary:
        `accepted after ${acceptedMs ?? "?"} ms, withdrawn with exit code ` +
        `${withdrawn.exitCode}, refused after ${refusedMs ?? "?"} ms; ` +
        `repeated with exit code ${repeated.exitCode}`,
      isSatisfied: acceptedMs !== undefined && refusedMs !== undefined &&
        withdrawn.exitCode === 6 && repeated.exitCode === 0,
    };
  }
}

/** Queries the status of the VMs and the explanation of a request. */
export class OperatorViewStep extends TourStep {
  override readonly guarantee =
    "limpetctl reports the status of every VM and explains a recent request";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const status = await runCommand(fleet, ["vm", "status", "--json"]);
    const { vms } = JSON.parse(status.output) as {
      readonly vms: readonly { readonly isAnswered: boolean }[];
    };
    const answered = vms.filter((vm) => vm.isAnswered).length;
    const explained = await runCommand(fleet, [
      "explain",
      await this.#sendRequest(fleet),
    ]);
    return {
      summary: `${answered} of ${fleet.vms.size} VMs answered; ` +
        `explain exited with code ${explained.exitCode}`,
      isSatisfied: answered === fleet.vms.size && explained.exitCode === 0,
    };
  }

  async #sendRequest(fleet: DemoFleet): Promise<string> {
    const vm = [...fleet.vms.values()][0];
    if (vm === undefined) {
      return randomUUID();
    }
    const caller = new DemoCaller(vm.callerAddress);
    const { readPath, largeTeam } = fleet.profile;
    const response = await caller.send({
      path: readPath,
      key: `demo-key-${largeTeam}`,
    });
    await caller.close();
    return response.kind === "answer" ? response.requestId : randomUUID();
  }
}

async function runCommand(
  fleet: DemoFleet,
  command: readonly string[],
): Promise<CommandResult> {
  const stdout = new PassThrough();
  const output = text(stdout);
  const exitCode = await buildCli().run(
    [...command, "--log", fleet.origin, "--operator", "tour"],
    {
      ...Cli.defaultContext,
      stdout,
      environment: { ...buildMachineEnvironment(), settingsPath: undefined },
    },
  );
  stdout.end();
  return { exitCode, output: await output };
}
