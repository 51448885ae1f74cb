/** External services and time sources that a VM depends on. */

import type { Clock } from "@limpetford/core/time/clock";
import type { RandomSource } from "@limpetford/core/time/random_source";
import type { LinkFaults } from "@limpetford/peer/link_faults";
import type { LogService } from "@limpetford/platform/log_service";
import type { VmList } from "@limpetford/platform/vm_list";

import type { ContainedExceptions } from "../telemetry/contained_exceptions.ts";
import type { ServingMetrics } from "../telemetry/serving_metrics.ts";
import type { SpanRecorder } from "../telemetry/span_recorder.ts";

/** Services, time sources and telemetry that are passed to a VM. */
export interface VmDependencies {
  readonly log: LogService;
  readonly vmList: VmList;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Counters and timers; nothing is recorded if absent. */
  readonly metrics?: ServingMetrics;
  /** Exceptions that end only one request; not reported if absent. */
  readonly exceptions?: ContainedExceptions;
  /** Trace spans; nothing is traced if absent. */
  readonly spans?: SpanRecorder;
  /** Injects network partitions between VMs in tests; none if absent. */
  readonly linkFaults?: LinkFaults;
}
