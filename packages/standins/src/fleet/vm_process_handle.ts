/** One process of a fleet under test. */

import { type ChildProcess, spawn } from "node:child_process";

import type { SocketAddress } from "@limpetford/domain/vm";

/**
 * Directory of the program that tests bundle, in the workspace. Each worker of
 * the test runner has its own, as it must not change while processes start.
 */
export const BUNDLE_DIRECTORY = `out/bundle-${
  process.env["JEST_WORKER_ID"] ?? "0"
}`;

/** Which VM a process is, and where its settings are. */
export interface VmProcessOptions {
  readonly id: string;
  readonly host: string;
  readonly zone: string;
  /** Path of the settings file. */
  readonly settings: string;
  /** Where it finds the store. */
  readonly store: SocketAddress;
}

/** One process of the fleet, which may be started several times. */
export class VmProcessHandle {
  readonly id: string;
  readonly host: string;
  readonly zone: string;
  /** What the process has written. */
  log = "";
  readonly settings: string;
  readonly store: SocketAddress;
  #child: ChildProcess | undefined;

  /**
   * Prepares a process.
   *
   * @param options - which VM it is
   */
  constructor(options: VmProcessOptions) {
    this.id = options.id;
    this.host = options.host;
    this.zone = options.zone;
    this.settings = options.settings;
    this.store = options.store;
  }

  /**
   * Identifier of the process.
   *
   * @returns the current value
   */
  get processId(): number {
    if (this.#child?.pid === undefined) {
      throw new Error(`${this.id} has not been started`);
    }
    return this.#child.pid;
  }

  /** Starts the process. */
  start(): void {
    const child = spawn(process.execPath, [
      `${BUNDLE_DIRECTORY}/limpetford.js`,
      "fleet",
      "--settings",
      this.settings,
    ], { stdio: ["ignore", "pipe", "pipe"] });
    const collect = (chunk: Buffer): void => {
      this.log += chunk.toString("utf8");
    };
    child.stdout.on("data", collect);
    child.stderr.on("data", collect);
    this.#child = child;
  }

  /**
   * Sends a signal to the process.
   *
   * @param signal - the signal
   */
  send(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /**
   * Waits for the end of the process.
   *
   * @returns its exit code; null if a signal ended it
   */
  async waitExit(): Promise<number | null> {
    const child = this.#child;
    if (child === undefined || !this.isRunning()) {
      return child?.exitCode ?? null;
    }
    return await new Promise((resolve) => {
      child.once("exit", resolve);
    });
  }

  /**
   * Checks whether the process has not ended; a frozen one has not.
   *
   * @returns true if it is there
   */
  isRunning(): boolean {
    const child = this.#child;
    return child?.exitCode === null && child.signalCode === null;
  }
}
