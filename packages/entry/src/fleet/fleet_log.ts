/** Structured, rate-limited log of a VM. */

import { LogRateLimiter } from "@limpetford/core/limits/log_rate_limiter";
import type { Clock } from "@limpetford/core/time/clock";
import * as winston from "winston";

import { BoundedWriter } from "../telemetry/bounded_writer.ts";
import type { LogLevel } from "./log_event_description.ts";
import {
  LOG_EVENTS,
  type LogEventFields,
  type LogEventName,
} from "./log_events.ts";

const LINES_PER_SECOND = 400;
/** Share of the lines reserved for warnings and errors. */
const IMPORTANT_SHARE = 0.4;
const DROP_REPORT_INTERVAL_MS = 5_000;
const STDOUT = 1;

/** Options of a {@link FleetLog}. */
export interface FleetLogOptions {
  readonly clock: Clock;
  readonly level: LogLevel;
  /** Identifier of the VM, written with every line. */
  readonly vm: string;
  /** Defaults to standard output. */
  readonly writer?: BoundedWriter;
}

/**
 * Writes the events of the catalogue as JSON lines. Lines above the rate limit,
 * or for which the writer's buffer has no room, are dropped; their number is
 * logged every few seconds.
 */
export class FleetLog {
  readonly #clock: Clock;
  readonly #writer: BoundedWriter;
  readonly #logger: winston.Logger;
  readonly #budget: LogRateLimiter;
  #overBudgetCount = 0;
  #reportedAtMs: number;

  /**
   * Creates a log with a full line budget.
   *
   * @param options - clock, lowest level, VM and writer
   */
  constructor(options: FleetLogOptions) {
    this.#clock = options.clock;
    this.#writer = options.writer ?? new BoundedWriter(STDOUT);
    const nowMs = options.clock.readMonotonicMs();
    this.#reportedAtMs = nowMs;
    this.#budget = new LogRateLimiter({
      linesPerSecond: LINES_PER_SECOND,
      importantShare: IMPORTANT_SHARE,
    }, nowMs);
    this.#logger = winston.createLogger({
      level: options.level,
      defaultMeta: { vm: options.vm },
      format: winston.format.combine(
        winston.format.timestamp(),
        winston.format.json(),
      ),
      transports: [new winston.transports.Stream({ stream: this.#writer })],
    });
  }

  /**
   * Logs one event, unless its level is disabled or its line is dropped.
   *
   * @param name - event name, which determines level and fields
   * @param fields - values of the event's fields
   */
  record<Name extends LogEventName>(
    name: Name,
    fields: LogEventFields[Name],
  ): void {
    const { level } = LOG_EVENTS[name];
    if (!this.#logger.isLevelEnabled(level)) {
      return;
    }
    const isImportant = level === "warn" || level === "error";
    const nowMs = this.#clock.readMonotonicMs();
    if (!this.#budget.take(isImportant, nowMs)) {
      this.#overBudgetCount += 1;
    } else if (this.#writer.hasRoom()) {
      this.#logger.log(level, name, fields);
    }
    if (nowMs - this.#reportedAtMs > DROP_REPORT_INTERVAL_MS) {
      this.#reportedAtMs = nowMs;
      this.#reportDrops();
    }
  }

  /** Logs the remaining drop count and waits until all lines are written. */
  async close(): Promise<void> {
    this.#reportDrops();
    await new Promise<void>((resolve) => {
      this.#writer.end(resolve);
    });
  }

  #reportDrops(): void {
    const count = this.#overBudgetCount + this.#writer.takeDroppedCount();
    this.#overBudgetCount = 0;
    if (count > 0) {
      this.#logger.log("warn", "lines-dropped", { count });
    }
  }
}
