/** Commands that check, compare and publish the operators' sheet. */

import { computeChanges } from "@limpetford/core/configuration/configuration_diff";
import type { ConfigurationState } from "@limpetford/core/configuration/configuration_fold";
import type { Configuration } from "@limpetford/domain/configuration";
import type { ConfigurationChange } from "@limpetford/domain/configuration_record";
import type { ConfigurationVersion } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import { Command, Option } from "clipanion";

import {
  buildCtlError,
  CtlCommand,
  CtlError,
  readRequiredFile,
  readState,
} from "../cli/ctl_command.ts";
import type { CtlEnvironment } from "../cli/ctl_connections.ts";
import type { ExitCode } from "../cli/exit_code.ts";
import { EXIT_CODE } from "../cli/exit_code.ts";
import type { CommandOutput } from "../cli/output.ts";
import { renderOutput } from "../cli/output.ts";
import { formatChange } from "../configuration/change_format.ts";
import { readSheet } from "../sheet/sheet_file.ts";

const CATEGORY = "Sheet";

/** Validates a sheet offline. */
export class SheetCheckCommand extends CtlCommand {
  static override paths = [["sheet", "check"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "list all errors of a sheet",
    details: "Needs no connection. Exit code 2 if there are errors.",
    examples: [["Check a sheet", "$0 sheet check sheet.csv"]],
  });
  file = Option.String();

  override async run(): Promise<CommandOutput> {
    const sheet = await loadSheet(this.context.environment, this.file);
    return {
      document: { faults: [], counts: countRecords(sheet) },
      lines: [`The sheet is valid: ${formatCounts(sheet)}.`],
    };
  }
}

/** Shows what publishing a sheet would change. */
export class SheetDiffCommand extends CtlCommand {
  static override paths = [["sheet", "diff"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "show what publishing a sheet would change",
    examples: [["Compare with the fleet", "$0 sheet diff sheet.csv"]],
  });
  file = Option.String();

  override async run(): Promise<CommandOutput> {
    const sheet = await loadSheet(this.context.environment, this.file);
    return await this.runConnected(async (session) => {
      const state = await readState(session);
      const target = removeWithdrawnKeys(sheet, state);
      const changes = computeChanges(state.configuration, target);
      const { version } = state.configuration;
      return {
        document: { version, changes },
        lines: [`Compared with version ${version}: ${changes.length} changes.`],
        table: buildChangeTable(changes),
      };
    });
  }
}

/** Publishes a sheet by proposing its difference to the version in force. */
export class SheetPublishCommand extends CtlCommand {
  static override paths = [["sheet", "publish"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "publish a sheet if all of it is valid",
    details: "Proposes the difference to the version in force. If another " +
      "operator's change is accepted first, nothing is changed (exit code 3). " +
      "Keys issued with `key issue` may be missing from the sheet: choose " +
      "with `--keep-keys` or `--remove-keys` what happens to them.",
    examples: [
      ["Publish the morning's sheet", "$0 sheet publish sheet.csv"],
      [
        "Publish only if version 41 is still in force",
        "$0 sheet publish sheet.csv --based-on 41",
      ],
    ],
  });
  file = Option.String();
  basedOn = Option.String("--based-on", {
    description: "Publish only if this version is in force",
  });
  keepKeys = Option.Boolean("--keep-keys", false, {
    description: "Keep keys that the sheet does not list",
  });
  removeKeys = Option.Boolean("--remove-keys", false, {
    description: "Remove keys that the sheet does not list",
  });

  override async run(): Promise<CommandOutput> {
    const sheet = await loadSheet(this.context.environment, this.file);
    return await this.runConnected(async (session) => {
      const state = await readState(session);
      const basedOn = this.#resolveBase(state.configuration.version);
      const target = this.#resolveKeys(sheet, state);
      const changes = computeChanges(state.configuration, target);
      if (changes.length === 0) {
        return {
          document: { version: basedOn, changes: [] },
          lines: [`Version ${basedOn} is identical; nothing to publish.`],
        };
      }
      const published = await session.publisher.publish({ basedOn, changes });
      if (!published.ok) {
        throw buildCtlError(published.error);
      }
      return {
        document: { version: published.value, changes },
        lines: [
          `Version ${published.value} is accepted: ${changes.length} changes.`,
        ],
        table: buildChangeTable(changes),
      };
    });
  }

  #resolveBase(inForce: ConfigurationVersion): ConfigurationVersion {
    if (this.basedOn !== undefined && Number(this.basedOn) !== inForce) {
      throw buildCtlError({ kind: "lost-race", inForce });
    }
    return inForce;
  }

  #resolveKeys(sheet: Configuration, state: ConfigurationState): Configuration {
    const target = removeWithdrawnKeys(sheet, state);
    const listed = new Set(target.keys.map((key) => key.hash));
    const teams = new Set(target.teams.map((team) => team.id));
    const unlisted = state.configuration.keys.filter((key) =>
      !listed.has(key.hash) && !state.withdrawnKeys.has(key.hash) &&
      teams.has(key.team)
    );
    if (unlisted.length === 0 || this.removeKeys) {
      return target;
    }
    if (this.keepKeys) {
      return { ...target, keys: [...target.keys, ...unlisted] };
    }
    const lines = unlisted.map((key) => `  ${key.team} ${key.hash}`);
    throw new CtlError(
      EXIT_CODE.rejected,
      "These keys are in force but not in the sheet; use --keep-keys or " +
        `--remove-keys:\n${lines.join("\n")}`,
      { kind: "unlisted-keys", keys: unlisted },
    );
  }
}

/** Shows the version in force or the outcome of a proposal. */
export class SheetStatusCommand extends CtlCommand {
  static override paths = [["sheet", "status"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "show the version in force, or the outcome of a proposal",
    examples: [
      ["Show the version in force", "$0 sheet status"],
      ["Look up an unknown outcome", "$0 sheet status --proposal ID"],
    ],
  });
  proposal = Option.String("--proposal", {
    description: "Identifier that `sheet publish` printed",
  });

  override async run(): Promise<
    CommandOutput & { readonly exitCode?: ExitCode }
  > {
    return await this.runConnected(async (session) => {
      const { configuration, withdrawnKeys } = await readState(session);
      const { version } = configuration;
      if (this.proposal === undefined) {
        const counts = {
          ...countRecords(configuration),
          withdrawnKeys: withdrawnKeys.size,
        };
        return {
          document: { version, counts },
          lines: [`Version ${version} is in force.`],
          table: {
            head: ["records", "count"],
            rows: Object.entries(counts).map(([name, count]) => [
              name,
              String(count),
            ]),
          },
        };
      }
      const found = await session.publisher.findOutcome(this.proposal);
      if (!found.ok) {
        throw buildCtlError(found.error);
      }
      const outcome = found.value ?? { kind: "not-in-log" };
      return {
        document: { version, proposal: this.proposal, outcome },
        lines: [`Proposal ${this.proposal}: ${outcome.kind}.`],
        exitCode: outcome.kind === "accepted"
          ? EXIT_CODE.success
          : EXIT_CODE.rejected,
      };
    });
  }
}

async function loadSheet(
  environment: CtlEnvironment,
  path: string,
): Promise<Configuration> {
  const bytes = await readRequiredFile(environment, path);
  const sheet = readSheet(bytes, toId<ConfigurationVersion>(0));
  if (sheet.ok) {
    return sheet.value;
  }
  const errors = sheet.error;
  const table = {
    head: ["row", "column", "found", "expected"],
    rows: errors.map((error) => [
      String(error.row),
      error.column,
      error.found,
      error.expected,
    ]),
  };
  const lines = [`${path}: ${errors.length} errors; nothing is published.`];
  throw new CtlError(
    EXIT_CODE.invalidOrNotFound,
    renderOutput({ document: undefined, lines, table }, false).trimEnd(),
    { kind: "sheet", faults: errors },
  );
}

function removeWithdrawnKeys(
  sheet: Configuration,
  state: ConfigurationState,
): Configuration {
  const keys = sheet.keys.filter((key) => !state.withdrawnKeys.has(key.hash));
  return { ...sheet, keys };
}

function buildChangeTable(changes: readonly ConfigurationChange[]) {
  return {
    head: ["change", "record", "value"],
    rows: changes.map(formatChange),
  };
}

function countRecords(
  configuration: Configuration,
): Readonly<Record<string, number>> {
  return {
    services: configuration.services.length,
    servers: configuration.servers.length,
    routes: configuration.routes.length,
    teams: configuration.teams.length,
    keys: configuration.keys.length,
  };
}

function formatCounts(configuration: Configuration): string {
  return Object.entries(countRecords(configuration))
    .map(([name, count]) => `${count} ${name}`)
    .join(", ");
}
