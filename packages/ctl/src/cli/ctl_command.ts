/** Base class of all limpetctl commands: options, settings and output. */

import type { ConfigurationState } from "@limpetford/core/configuration/configuration_fold";
import type { SocketAddress } from "@limpetford/domain/vm";
import { formatAddress } from "@limpetford/domain/vm";
import type { BaseContext } from "clipanion";
import { Command, Option } from "clipanion";

import type { ConfigurationError } from "../configuration/configuration_error.ts";
import { explainConfigurationError } from "../configuration/configuration_error.ts";
import { ConfigurationPublisher } from "../configuration/configuration_publisher.ts";
import type { CtlSettings } from "../settings/ctl_settings.ts";
import { parseCtlSettings } from "../settings/ctl_settings.ts";
import type { CtlConnections, CtlEnvironment } from "./ctl_connections.ts";
import type { ExitCode } from "./exit_code.ts";
import { EXIT_CODE } from "./exit_code.ts";
import type { CommandOutput } from "./output.ts";
import { renderOutput } from "./output.ts";

/** Context that limpetctl passes to its commands. */
export interface CtlContext extends BaseContext {
  readonly environment: CtlEnvironment;
}

/** Settings and connections of a running command. */
export interface CtlSession {
  readonly settings: CtlSettings;
  readonly connections: CtlConnections;
  readonly publisher: ConfigurationPublisher;
}

/** Error that ends a command with a message and an exit code. */
export class CtlError extends Error {
  readonly exitCode: ExitCode;
  readonly document: unknown;

  /**
   * Creates an error.
   *
   * @param exitCode - exit code of the command
   * @param message - message printed to standard error
   * @param document - error details printed as JSON with `--json`
   */
  constructor(exitCode: ExitCode, message: string, document: unknown) {
    super(message);
    this.exitCode = exitCode;
    this.document = document;
  }
}

/**
 * Base class of commands, with the options that all of them accept.
 */
export abstract class CtlCommand extends Command<CtlContext> {
  isJson = Option.Boolean("--json", false, {
    description: "Print JSON instead of a table",
  });
  settingsPath = Option.String("--settings", {
    description: "Settings file; default: $LIMPETCTL_SETTINGS",
  });
  logUrl = Option.String("--log", {
    description: "Base URL of the platform's log service",
  });
  vmListUrl = Option.String("--vm-list", {
    description:
      "Base URL of the platform's VM list; default: the URL of --log",
  });
  operator = Option.String("--operator", {
    description: "Your name, shown to other operators",
  });
  vms = Option.Array("--vm", {
    description:
      "Operator address of a VM, in addition to those of the VM list",
  });

  /**
   * Runs the command.
   *
   * @returns the output to print, and the exit code if it is not 0
   * @throws CtlError if the command fails
   */
  abstract run(): Promise<CommandOutput & { readonly exitCode?: ExitCode }>;

  override async execute(): Promise<number> {
    try {
      const output = await this.run();
      this.context.stdout.write(renderOutput(output, this.isJson));
      return output.exitCode ?? EXIT_CODE.success;
    } catch (error) {
      if (!(error instanceof CtlError)) {
        throw error;
      }
      if (this.isJson) {
        const output = { document: { error: error.document } };
        this.context.stdout.write(renderOutput(output, true));
      } else {
        this.context.stderr.write(`${error.message}\n`);
      }
      return error.exitCode;
    }
  }

  /**
   * Runs a callback with open connections and closes them afterwards.
   *
   * @param work - callback that receives the connections
   * @returns the result of the callback
   * @throws CtlError if the settings are invalid
   */
  protected async runConnected<T>(
    work: (session: CtlSession) => Promise<T>,
  ): Promise<T> {
    const settings = await this.#loadSettings();
    const { environment } = this.context;
    const connections = environment.connect(settings);
    const publisher = new ConfigurationPublisher({
      log: connections.log,
      clock: environment.clock,
      proposer: settings.operator,
      generateId: environment.generateId,
      wait: environment.wait,
    });
    try {
      return await work({ settings, connections, publisher });
    } finally {
      await connections.close();
    }
  }

  async #loadSettings(): Promise<CtlSettings> {
    const { environment } = this.context;
    const path = this.settingsPath ?? environment.settingsPath;
    const text = path === undefined ? "" : await readText(environment, path);
    const settings = parseCtlSettings(text, {
      logUrl: this.logUrl,
      vmListUrl: this.vmListUrl,
      operator: this.operator,
      vms: this.vms,
    });
    if (settings.ok) {
      return settings.value;
    }
    const lines = settings.error.map((error) => {
      const position = error.line === undefined ? "" : ` line ${error.line}`;
      return `${
        path ?? "settings"
      }${position}: ${error.name}: ${error.message}`;
    });
    const hint = path === undefined
      ? ["Specify --log URL, or a settings file with --settings."]
      : [];
    throw new CtlError(
      EXIT_CODE.usage,
      [...lines, ...hint].join("\n"),
      { kind: "settings", faults: settings.error },
    );
  }
}

/**
 * Reads the configuration in force.
 *
 * @param session - connections of the command
 * @returns the state at the end of the configuration stream
 * @throws CtlError if the log cannot be read
 */
export async function readState(
  session: CtlSession,
): Promise<ConfigurationState> {
  const state = await session.publisher.readState();
  if (!state.ok) {
    throw buildCtlError(state.error);
  }
  return state.value;
}

/**
 * Lists the operator addresses of the settings and of the VM list. If the VM
 * list is unavailable, lists only those of the settings.
 *
 * @param session - connections of the command
 * @returns the addresses without duplicates
 */
export async function listOperatorAddresses(
  session: CtlSession,
): Promise<readonly SocketAddress[]> {
  const list = await session.connections.vmList.read();
  const listed = list.ok
    ? list.value.flatMap(({ vm }) => vm.operatorAddress ?? [])
    : [];
  const all = [...session.settings.vms, ...listed];
  const byText = new Map(
    all.map((address) => [formatAddress(address), address]),
  );
  return [...byText.values()];
}

/**
 * Converts a configuration error into an error of the command.
 *
 * @param error - error of reading or changing the configuration
 * @returns the error with message, exit code and JSON document
 */
export function buildCtlError(error: ConfigurationError): CtlError {
  return new CtlError(
    findExitCode(error),
    explainConfigurationError(error),
    error,
  );
}

function findExitCode(error: ConfigurationError): ExitCode {
  switch (error.kind) {
    case "log-away":
    case "log-busy":
    case "no-checkpoint":
      return EXIT_CODE.unavailable;
    case "lost-race":
    case "invalid":
      return EXIT_CODE.rejected;
    case "outcome-unknown":
      return EXIT_CODE.outcomeUnknown;
  }
}

async function readText(
  environment: CtlEnvironment,
  path: string,
): Promise<string> {
  return new TextDecoder().decode(await readRequiredFile(environment, path));
}

/**
 * Reads a file that the operator specified.
 *
 * @param environment - provides access to the file system
 * @param path - path of the file
 * @returns the content of the file
 * @throws CtlError with exit code 1 if the file cannot be read
 */
export async function readRequiredFile(
  environment: CtlEnvironment,
  path: string,
): Promise<Uint8Array> {
  try {
    return await environment.readFile(path);
  } catch (error) {
    const cause = error instanceof Error ? error.message : String(error);
    const document = { kind: "unreadable", path, cause };
    throw new CtlError(EXIT_CODE.usage, `${path}: ${cause}`, document);
  }
}
