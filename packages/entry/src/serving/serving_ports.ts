/** Interfaces of the components that serving requests depends on. */

import type { Clock } from "@limpetford/core/time/clock";
import type { RandomSource } from "@limpetford/core/time/random_source";

import type { ServingDialect } from "../dialect/serving_dialect.ts";
import type { InputLimiter } from "../http/input_limiter.ts";
import type { ConfigurationSource } from "../ports/configuration_source.ts";
import type { EntrySelector } from "../ports/entry_selector.ts";
import type { IdempotencyLedger } from "../ports/idempotency_ledger.ts";
import type { RateLimiter } from "../ports/rate_limiter.ts";
import type { ServerRouter } from "../ports/server_router.ts";
import type { ContainedExceptions } from "../telemetry/contained_exceptions.ts";
import type { DecisionLog } from "../telemetry/decision_log.ts";
import type { ServingMetrics } from "../telemetry/serving_metrics.ts";
import type { SpanRecorder } from "../telemetry/span_recorder.ts";
import type { EventLoopMonitor } from "../vm/event_loop_monitor.ts";

/** The components of a VM that take part in serving requests. */
export interface ServingPorts {
  readonly configuration: ConfigurationSource;
  readonly rateLimiter: RateLimiter;
  readonly ledger: IdempotencyLedger;
  readonly router: ServerRouter;
  readonly entrySelector: EntrySelector;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** How far the event loop is behind; one of its own if absent. */
  readonly loop?: EventLoopMonitor;
  /** Shares the HTTP parser with other servers; one of its own if absent. */
  readonly inputs?: InputLimiter;
  /** Protocol of callers and backend servers; `NativeDialect` if absent. */
  readonly dialect?: ServingDialect;
  /** Log of decisions on requests; nothing is logged if absent. */
  readonly decisions?: DecisionLog;
  /** Counters and timers; nothing is recorded if absent. */
  readonly metrics?: ServingMetrics;
  /** Exceptions that end only a caller's request; not reported if absent. */
  readonly exceptions?: ContainedExceptions;
  /** Trace spans; nothing is traced if absent. */
  readonly spans?: SpanRecorder;
}
