/** Command that renders the JSON of a gray failure measurement as HTML. */

import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname } from "node:path";

import { Cli, Command, Option } from "clipanion";

import type { GrayReport } from "../measure/gray/gray_command.ts";
import { renderReport } from "./report_page.ts";

const DEFAULT_INPUT = "out/gray.json";
const DEFAULT_OUTPUT = "out/report.html";

class ReportCommand extends Command {
  readonly input = Option.String("--input", DEFAULT_INPUT);
  readonly output = Option.String("--output", DEFAULT_OUTPUT);

  override execute(): Promise<number> {
    const { resolve } = createRequire(import.meta.url);
    const text = readFileSync(this.input, "utf8");
    const page = renderReport(JSON.parse(text) as GrayReport, {
      script: readFileSync(resolve("uplot/dist/uPlot.iife.min.js"), "utf8"),
      style: readFileSync(resolve("uplot/dist/uPlot.min.css"), "utf8"),
    });
    mkdirSync(dirname(this.output), { recursive: true });
    writeFileSync(this.output, page);
    this.context.stdout.write(`${this.output}\n`);
    return Promise.resolve(0);
  }
}

const cli = new Cli({ binaryName: "npm run report --" });
cli.register(ReportCommand);
await cli.runExit(process.argv.slice(2));
