/** Registers all commands of limpetctl. */

import { BUILD } from "@limpetford/domain/build";
import { Builtins, Cli } from "clipanion";

import {
  ExplainCommand,
  ServiceStatusCommand,
  VmStatusCommand,
} from "../commands/fleet_commands.ts";
import {
  KeyIssueCommand,
  KeyListCommand,
  KeyWithdrawCommand,
} from "../commands/key_commands.ts";
import {
  LogExplainCommand,
  LogFilterCommand,
} from "../commands/log_commands.ts";
import {
  QuarantineListCommand,
  QuarantineReleaseCommand,
} from "../commands/quarantine_commands.ts";
import {
  SheetCheckCommand,
  SheetDiffCommand,
  SheetPublishCommand,
  SheetStatusCommand,
} from "../commands/sheet_commands.ts";
import { TeamListCommand, TeamShowCommand } from "../commands/team_commands.ts";
import type { CtlContext } from "./ctl_command.ts";

const VERSION = `0.1.0+${BUILD}`;

/**
 * Builds the command-line parser.
 *
 * @returns the parser with all commands registered
 */
export function buildCli(): Cli<CtlContext> {
  const cli = new Cli<CtlContext>({
    binaryLabel: "limpetctl: manages a limpetford fleet",
    binaryName: "limpetctl",
    binaryVersion: VERSION,
  });
  const commands = [
    SheetCheckCommand,
    SheetDiffCommand,
    SheetPublishCommand,
    SheetStatusCommand,
    TeamListCommand,
    TeamShowCommand,
    KeyIssueCommand,
    KeyWithdrawCommand,
    KeyListCommand,
    ServiceStatusCommand,
    VmStatusCommand,
    ExplainCommand,
    LogExplainCommand,
    LogFilterCommand,
    QuarantineListCommand,
    QuarantineReleaseCommand,
    Builtins.HelpCommand,
    Builtins.VersionCommand,
  ];
  for (const command of commands) {
    cli.register(command);
  }
  return cli;
}
