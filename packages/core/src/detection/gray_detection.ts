/** Results of gray failure detection for single backend servers. */

import type { ServerId } from "@limpetford/domain/ids";

import type { ObservationMix } from "./observation.ts";

/** A server whose score has crossed the detection threshold. */
export interface GrayDetection {
  readonly server: ServerId;
  /** Name of the gray alternative with the highest score. */
  readonly alternative: string;
  /** True if the server is slow or hangs; false if it fails requests. */
  readonly isLatency: boolean;
  /** Share of failed and very slow requests, from 0 to 1. */
  readonly severity: number;
}

/** State of the sequential tests of one server, as operators see it. */
export interface ServerEvidenceStatus {
  readonly server: ServerId;
  /** Accumulated log-likelihood ratio of `alternative`. */
  readonly score: number;
  /** Score at which the server is detected as gray. */
  readonly threshold: number;
  /**
   * Name of the gray alternative with the highest score. A detected one that no
   * link fault may explain goes first.
   */
  readonly alternative: string;
  readonly observationsPerSecond: number;
  /** Recent share of each observation class. */
  readonly recentMix: ObservationMix;
  /** Share of failed and very slow requests since the score left 0. */
  readonly faultShare: number;
  /** True if a network link may be at fault rather than the server. */
  readonly isVouchedFor: boolean;
}
