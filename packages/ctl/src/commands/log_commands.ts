/** Commands that search the logs of VMs; they need no connection. */

import { Command, Option } from "clipanion";

import { CtlCommand, CtlError } from "../cli/ctl_command.ts";
import { EXIT_CODE } from "../cli/exit_code.ts";
import type { CommandOutput } from "../cli/output.ts";
import { formatFields, type LogLine } from "../logs/log_line.ts";
import { type LogFilter, readLogLines } from "../logs/log_reader.ts";

const CATEGORY = "Logs";
// Positions of hh:mm:ss.sss in an ISO 8601 timestamp.
const TIME_OF_DAY_START = 11;
const TIME_OF_DAY_END = 23;

/** Shows the log lines of one request from all VMs. */
export class LogExplainCommand extends CtlCommand {
  static override paths = [["log", "explain"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "trace a request through the logs of the VMs",
    details: "Reads files, or the standard input if none is given. Lines of " +
      "all VMs may be mixed, and may carry a prefix.",
    examples: [["One request", "$0 log explain 9c41d07be2a35f68 *.log"]],
  });
  request = Option.String({ required: true });
  files = Option.Rest();

  override async run(): Promise<CommandOutput> {
    const lines = await loadLines(this, { request: this.request });
    if (lines.length === 0) {
      throw new CtlError(
        EXIT_CODE.invalidOrNotFound,
        `No line mentions request ${this.request}: it reached no VM whose log ` +
          "was read, or its lines were dropped (see lines-dropped).",
        { kind: "no-such-request", request: this.request },
      );
    }
    return buildOutput(lines);
  }
}

/** Shows log lines that match a VM, event or start time. */
export class LogFilterCommand extends CtlCommand {
  static override paths = [["log", "filter"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "show the lines of one VM or event, or since a time",
    examples: [
      ["Refusals", "$0 log filter --event request-refused all.log"],
      ["One VM", "$0 log filter --of gw-3 --since 2026-12-03T10:00 all.log"],
    ],
  });
  of = Option.String("--of", { description: "Name of a VM" });
  event = Option.String("--event", { description: "Name of an event" });
  since = Option.String("--since", { description: "Earliest timestamp" });
  files = Option.Rest();

  override async run(): Promise<CommandOutput> {
    const { of: vm, event, since } = this;
    return buildOutput(await loadLines(this, { vm, event, since }));
  }
}

async function loadLines(
  command: LogExplainCommand | LogFilterCommand,
  filter: LogFilter,
): Promise<readonly LogLine[]> {
  try {
    return await readLogLines(command.files, command.context.stdin, filter);
  } catch (error) {
    const cause = error instanceof Error ? error.message : String(error);
    throw new CtlError(
      EXIT_CODE.invalidOrNotFound,
      `A log cannot be read: ${cause}`,
      {
        kind: "unreadable-log",
        cause,
      },
    );
  }
}

function buildOutput(lines: readonly LogLine[]): CommandOutput {
  return {
    document: { lines },
    table: {
      head: ["time", "vm", "event", "request", "with"],
      rows: lines.map((line) => [
        line.timestamp.slice(TIME_OF_DAY_START, TIME_OF_DAY_END),
        line.vm,
        line.event,
        line.request,
        formatFields(line),
      ]),
    },
  };
}
