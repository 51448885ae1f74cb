/** The command `measure logging`, which measures the cost of the request log. */

import { Command, Option } from "clipanion";

import { buildBundle } from "../../fleet/bundle.ts";
import { measureLoggingCost } from "./logging_cost.ts";

const RATES = [50, 500] as const;
const LEVELS = ["error", "info"] as const;

/** Compares one VM process at log level `info` with one at `error`. */
export class LoggingCommand extends Command {
  static override readonly paths = [["logging"]];
  static override readonly usage = Command.Usage({
    description: "Measures the cost of the log at 50 and 500 requests/s.",
  });

  readonly seconds = Option.String("--seconds", "15");

  override async execute(): Promise<number> {
    buildBundle();
    this.#print("requests/s, level, served, CPU ms and log bytes per request");
    for (const requestsPerSecond of RATES) {
      for (const logLevel of LEVELS) {
        const cost = await measureLoggingCost({
          requestsPerSecond,
          logLevel,
          durationMs: Number(this.seconds) * 1_000,
        });
        this.#print(
          [
            requestsPerSecond,
            logLevel,
            `${cost.served} of ${cost.sent}`,
            cost.cpuMs.toFixed(2),
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
