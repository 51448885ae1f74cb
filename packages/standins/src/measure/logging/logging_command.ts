/** Command that measures what logging costs. */

import { execFileSync } from "node:child_process";

import { Command, Option } from "clipanion";

import { BUNDLE_DIRECTORY } from "../../fleet/vm_process_handle.ts";
import { measureLoggingCost } from "./logging_cost.ts";

const RATES = [50, 500] as const;
const LEVELS = ["error", "info"] as const;

/** Measures one VM process with and without its lines about requests. */
export class LoggingCommand extends Command {
  static override readonly paths = [["logging"]];
  static override readonly usage = Command.Usage({
    description: "Measure the cost of the log at 50 and 500 requests/s.",
  });

  readonly seconds = Option.String("--seconds", "15");

  override async execute(): Promise<number> {
    execFileSync(process.execPath, ["tools/bundle.js", BUNDLE_DIRECTORY]);
    this.#print("requests/s, level, served, processor ms and bytes a request");
    for (const requestsPerSecond of RATES) {
      for (const logLevel of LEVELS) {
        const cost = await measureLoggingCost({
          requestsPerSecond,
          logLevel,
          lengthMs: Number(this.seconds) * 1_000,
        });
        this.#print(
          [
            requestsPerSecond,
            logLevel,
            `${cost.served} of ${cost.sent}`,
            cost.processorMs.toFixed(2),
            cost.bytesPerRequest.toFixed(0),
          ].join(", "),
        );
      }
    }
    return 0;
  }

  #print(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }
}
