/** The default command: runs one entry VM. */

import { Command, Option } from "clipanion";

import { loadProcessSettings } from "../settings/process_settings.ts";
import { formatSettingsError } from "../settings/settings_error.ts";
import { EXIT_CODE } from "./exit_code.ts";

/**
 * Runs a VM with the settings of a file: `limpetford --settings FILE`.
 */
export class ServeCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: "run one entry VM",
    details: "Runs until SIGTERM or SIGINT, then waits for requests in " +
      "flight. Exit codes: 0 stopped gracefully, 1 failed to start or had to " +
      "abort requests, 2 invalid settings.",
    examples: [
      ["Run", "$0 --settings /etc/limpetford.yaml"],
      ["Check settings only", "$0 --settings FILE --check-settings"],
    ],
  });
  settings = Option.String("--settings", {
    required: true,
    description: "YAML file; see docs/operators/settings.md",
  });
  checkSettings = Option.Boolean("--check-settings", false, {
    description: "check the file and exit",
  });

  override async execute(): Promise<number> {
    const loaded = await loadProcessSettings(this.settings, Date.now());
    if (!loaded.ok) {
      for (const error of loaded.error) {
        this.context.stderr.write(`${formatSettingsError(error)}\n`);
      }
      return EXIT_CODE.invalidSettings;
    }
    if (this.checkSettings) {
      this.context.stdout.write("settings are valid\n");
      return EXIT_CODE.stopped;
    }
    // Imported on demand, since the `fleet` command does not need the module.
    const { VmProcess } = await import("./vm_process.ts");
    const isCleanStop = await new VmProcess(loaded.value).run();
    return isCleanStop ? EXIT_CODE.stopped : EXIT_CODE.failed;
  }
}
