/** Commands that show teams. */

import type { Team } from "@limpetford/domain/team";
import { Command, Option } from "clipanion";

import { CtlCommand, CtlError, readState } from "../cli/ctl_command.ts";
import { EXIT_CODE } from "../cli/exit_code.ts";
import type { CommandOutput } from "../cli/output.ts";

const CATEGORY = "Teams and keys";
const HEAD = ["team", "rate/s", "burst", "weight", "keys"];

/** Lists all teams with their limits and the number of their valid keys. */
export class TeamListCommand extends CtlCommand {
  static override paths = [["team", "list"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "list teams with their rates",
  });

  override async run(): Promise<CommandOutput> {
    return await this.runConnected(async (session) => {
      const { configuration, withdrawnKeys } = await readState(session);
      const teams = configuration.teams.map((team) => ({
        ...team,
        keys: configuration.keys.filter((key) =>
          key.team === team.id && !withdrawnKeys.has(key.hash)
        ).length,
      }));
      return {
        document: { version: configuration.version, teams },
        table: {
          head: HEAD,
          rows: teams.map((team) =>
            formatTeam(team, team.keys)
          ),
        },
      };
    });
  }
}

/** Shows one team and its keys, including withdrawn ones. */
export class TeamShowCommand extends CtlCommand {
  static override paths = [["team", "show"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "show a team and the hashes of its keys",
    examples: [["Show a team", "$0 team show costa"]],
  });
  team = Option.String();

  override async run(): Promise<CommandOutput> {
    return await this.runConnected(async (session) => {
      const { configuration, withdrawnKeys } = await readState(session);
      const team = configuration.teams.find((t) => String(t.id) === this.team);
      if (team === undefined) {
        const document = { kind: "no-such-team", team: this.team };
        const message = `There is no team ${this.team}.`;
        throw new CtlError(EXIT_CODE.invalidOrNotFound, message, document);
      }
      const keys = configuration.keys
        .filter((key) => key.team === team.id)
        .map(({ hash }) => ({ hash, isWithdrawn: withdrawnKeys.has(hash) }));
      const inForce = keys.filter((key) => !key.isWithdrawn);
      return {
        document: { version: configuration.version, team, keys },
        lines: keys.map((key) =>
          `key ${key.hash}${key.isWithdrawn ? " (withdrawn)" : ""}`
        ),
        table: { head: HEAD, rows: [formatTeam(team, inForce.length)] },
      };
    });
  }
}

function formatTeam(team: Team, keyCount: number): readonly string[] {
  return [
    team.id,
    String(team.ratePerSecond),
    String(team.burst),
    String(team.weight),
    String(keyCount),
  ];
}
