/** Entry point of `npm run measure`, which runs one of the measurements. */

import { Cli } from "clipanion";

import { GrayCommand } from "./gray/gray_command.ts";
import { LoggingCommand } from "./logging/logging_command.ts";
import { TogetherCommand } from "./together/together_command.ts";

const cli = new Cli({
  binaryLabel: "limpetford measurements",
  binaryName: "npm run measure --",
});
cli.register(GrayCommand);
cli.register(LoggingCommand);
cli.register(TogetherCommand);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
