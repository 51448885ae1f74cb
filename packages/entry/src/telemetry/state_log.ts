/** Logs changes of the process's state as JSON lines. */

import type { Writable } from "node:stream";

import * as winston from "winston";

/** A change of the process's state; its properties are fields of the log line. */
export type StateEvent =
  | {
    readonly kind: "started";
    readonly build: string;
    readonly caller: string;
    readonly operator: string;
  }
  | { readonly kind: "configuration-in-force"; readonly version: number }
  | { readonly kind: "drain-started" }
  | { readonly kind: "drain-timed-out" }
  | { readonly kind: "stopped" }
  | { readonly kind: "start-failed"; readonly cause: string }
  | {
    readonly kind: "exception-contained";
    readonly source: string;
    readonly cause: string;
    readonly stack: string;
  }
  | {
    readonly kind: "exception-uncaught";
    readonly cause: string;
    readonly stack: string;
  };

/** Minimum severity of the lines that are written. */
export type LogLevel = "error" | "warn" | "info" | "debug";

/** Level, output stream and common fields of the log lines. */
export interface StateLogOptions {
  readonly level: LogLevel;
  /** Identifier of this VM, added to every line. */
  readonly vm: string;
  /** Standard error by default. */
  readonly stream?: Writable;
}

const LEVEL_BY_KIND: Readonly<Record<StateEvent["kind"], LogLevel>> = {
  "started": "info",
  "configuration-in-force": "info",
  "drain-started": "info",
  "drain-timed-out": "error",
  "stopped": "info",
  "start-failed": "error",
  "exception-contained": "error",
  "exception-uncaught": "error",
};

/**
 * Writes one JSON line for each change of state.
 */
export class StateLog {
  readonly #logger: winston.Logger;

  /**
   * Opens the log.
   *
   * @param options - level, output stream and common fields
   */
  constructor(options: StateLogOptions) {
    this.#logger = winston.createLogger({
      level: options.level,
      defaultMeta: { vm: options.vm },
      format: winston.format.combine(
        winston.format.timestamp(),
        winston.format.json(),
      ),
      transports: [
        new winston.transports.Stream({
          stream: options.stream ?? process.stderr,
        }),
      ],
    });
  }

  /**
   * Logs a change of state at the level of its kind.
   *
   * @param event - kind and fields of the line
   */
  record(event: StateEvent): void {
    const { kind, ...fields } = event;
    this.#logger.log(LEVEL_BY_KIND[kind], kind, fields);
  }
}
