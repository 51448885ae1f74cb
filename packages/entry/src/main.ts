#!/usr/bin/env node
/** Entry point of the `limpetford` binary. */

import { runExit } from "clipanion";

import { FleetCommand } from "./command/fleet_command.ts";
import { ServeCommand } from "./command/serve_command.ts";

await runExit(
  { binaryLabel: "limpetford", binaryName: "limpetford" },
  [ServeCommand, FleetCommand],
);
