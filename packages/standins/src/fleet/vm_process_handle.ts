/** Starts and signals the process of one VM of a fleet under test. */

import { type ChildProcess, spawn } from "node:child_process";
import * as path from "node:path";

import type { SocketAddress } from "@limpetford/domain/vm";

import { BUNDLE_DIRECTORY } from "./bundle.ts";

/** Faults of the links from one VM to backend servers. */
export const SERVER_LINK_FAULT = {
  none: "none",
  /** Connections stay open and bring nothing; new ones get no answer. */
  silent: "silent",
  /** Connections are reset, new ones refused. */
  refused: "refused",
  /** Open connections live on, new ones are refused. */
  newRefused: "new-refused",
  /** Open connections live on, new ones get no answer. */
  newSilent: "new-silent",
} as const;
/** One of the faults in `SERVER_LINK_FAULT`. */
export type ServerLinkFault =
  typeof SERVER_LINK_FAULT[keyof typeof SERVER_LINK_FAULT];

/** Exceptions that a VM's process can be made to throw where nothing catches them. */
export const INJECTED_EXCEPTION = {
  error: "error",
  /** A promise that nobody waits for is rejected. */
  rejection: "rejection",
  /** An object whose properties can't be read. */
  unreadable: "unreadable",
  undefined: "undefined",
  /** An error in each millisecond until the process ends. */
  repeated: "repeated",
} as const;
/** One of the exceptions in `INJECTED_EXCEPTION`. */
export type InjectedException =
  typeof INJECTED_EXCEPTION[keyof typeof INJECTED_EXCEPTION];

/** Signals that end no process. */
const HARMLESS_SIGNALS: ReadonlySet<NodeJS.Signals> = new Set([
  "SIGSTOP",
  "SIGCONT",
]);
const PRELOAD_PATH = "packages/standins/src/fleet/link_fault_preload.cjs";

/** What a VM's process runs. */
export interface VmProgram {
  /** Path of the bundled program; that of this working copy by default. */
  readonly scriptPath?: string;
  /** Flags of Node, such as the size of the heap; none by default. */
  readonly nodeFlags?: readonly string[];
  /** Descriptors that the process may open; as many as this one by default. */
  readonly maxDescriptors?: number | undefined;
}

/** Start of a VM's process. */
export interface VmProcessStart {
  /** Wall-clock time, in milliseconds. */
  readonly atMs: number;
  readonly program: VmProgram;
  /** Length of the VM's log before. */
  readonly logLength: number;
}

/** End of a VM's process. */
export interface VmProcessEnd {
  /** Wall-clock time, in milliseconds. */
  readonly atMs: number;
  /** Exit code; null if a signal ended it. */
  readonly code: number | null;
  /** True if the process had been sent a signal that ends it. */
  readonly wasStopped: boolean;
}

/** Identity, addresses and settings file of a VM's process. */
export interface VmProcessOptions {
  readonly id: string;
  /** Loopback address that the process listens on. */
  readonly host: string;
  readonly zone: string;
  /** Processor cores that its settings name, also fractions of one. */
  readonly cores: number;
  /** Path of the settings file. */
  readonly settingsPath: string;
  /** Address at which the process reaches the store. */
  readonly storeAddress: SocketAddress;
  /** What its process runs at first. */
  readonly program: VmProgram;
}

/** The process of one VM; it may be started again after it has exited. */
export class VmProcessHandle {
  readonly id: string;
  readonly host: string;
  readonly zone: string;
  /** Processor cores that its settings name, also fractions of one. */
  readonly cores: number;
  /** Output of all its processes so far, stdout and stderr interleaved. */
  log = "";
  readonly settingsPath: string;
  readonly storeAddress: SocketAddress;
  /** What the next process that is started runs. */
  program: VmProgram;
  /** Starts of its processes so far. */
  readonly starts: VmProcessStart[] = [];
  /** Ends of its processes so far. */
  readonly ends: VmProcessEnd[] = [];
  #wasStopped = false;
  #child: ChildProcess | undefined;

  /**
   * Creates a handle without starting a process.
   *
   * @param options - identity, addresses and settings file
   */
  constructor(options: VmProcessOptions) {
    this.id = options.id;
    this.host = options.host;
    this.zone = options.zone;
    this.cores = options.cores;
    this.settingsPath = options.settingsPath;
    this.storeAddress = options.storeAddress;
    this.program = options.program;
  }

  /**
   * Identifier of the most recently started process.
   *
   * @returns the operating system's process identifier
   * @throws Error if none has been started
   */
  get processId(): number {
    if (this.#child?.pid === undefined) {
      throw new Error(`the process of ${this.id} has not been started`);
    }
    return this.#child.pid;
  }

  /** Starts the process and collects its output in `log`. */
  start(): void {
    const { scriptPath, nodeFlags, maxDescriptors } = this.program;
    const limited = maxDescriptors === undefined ? [] : [
      "-c",
      `ulimit -n ${maxDescriptors} && exec "$0" "$@"`,
      process.execPath,
    ];
    const command = maxDescriptors === undefined ? process.execPath : "/bin/sh";
    const child = spawn(command, [
      ...limited,
      ...nodeFlags ?? [],
      "--require",
      path.resolve(PRELOAD_PATH),
      scriptPath ?? `${BUNDLE_DIRECTORY}/limpetford.js`,
      "fleet",
      "--settings",
      this.settingsPath,
    ], { stdio: ["ignore", "pipe", "pipe", "ipc"] });
    const collect = (chunk: Buffer): void => {
      this.log += chunk.toString("utf8");
    };
    child.stdout?.on("data", collect);
    child.stderr?.on("data", collect);
    // The process may end while a message to it is on its way.
    child.on("error", () => undefined);
    child.on("exit", (code) => {
      const wasStopped = this.#wasStopped;
      this.ends.push({ atMs: Date.now(), code, wasStopped });
    });
    child.channel?.unref();
    this.#wasStopped = false;
    this.starts.push({
      atMs: Date.now(),
      program: this.program,
      logLength: this.log.length,
    });
    this.#child = child;
  }

  /**
   * Sends a signal to the process, if one has been started.
   *
   * @param signal - name of the signal, such as SIGTERM
   */
  sendSignal(signal: NodeJS.Signals): void {
    this.#wasStopped ||= !HARMLESS_SIGNALS.has(signal);
    this.#child?.kill(signal);
  }

  /**
   * Sets the fault of this VM's links to backend servers.
   *
   * @param fault - fault to inject; `none` restores the links
   * @param ports - ports of the servers that are concerned
   */
  setServerLinkFault(fault: ServerLinkFault, ports: readonly number[]): void {
    if (this.#child?.connected === true) {
      this.#child.send({ fault, ports });
    }
  }

  /**
   * Makes the process throw from a timer.
   *
   * @param exception - what it throws
   */
  sendException(exception: InjectedException): void {
    if (this.#child?.connected === true) {
      this.#child.send({ exception });
    }
  }

  /**
   * Waits until the process exits.
   *
   * @returns its exit code; null if a signal ended it or none was started
   */
  async waitForExit(): Promise<number | null> {
    const child = this.#child;
    if (child === undefined || !this.isRunning()) {
      return child?.exitCode ?? null;
    }
    return await new Promise((resolve) => {
      child.once("exit", resolve);
    });
  }

  /**
   * Checks whether the process is alive.
   *
   * @returns true if it was started and has not exited, also while it is frozen
   */
  isRunning(): boolean {
    const child = this.#child;
    return child?.exitCode === null && child.signalCode === null;
  }
}
