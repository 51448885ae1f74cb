#!/usr/bin/env node
/** Entry point of limpetctl, the operators' command-line tool. */

import { Cli } from "clipanion";

import { buildCli } from "./cli/build_cli.ts";
import { buildMachineEnvironment } from "./cli/ctl_connections.ts";

process.exitCode = await buildCli().run(process.argv.slice(2), {
  ...Cli.defaultContext,
  environment: buildMachineEnvironment(),
});
