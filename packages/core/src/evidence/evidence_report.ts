/** Report that a VM sends to a shard's holder about a service's servers. */

import type {
  RouteId,
  ServerId,
  ServiceId,
  VmId,
  ZoneId,
} from "@limpetford/domain/ids";

/** Number of served requests whose latency lies in one bucket. */
export interface BucketCount {
  /** Index of the latency bucket. */
  readonly bucket: number;
  readonly count: number;
}

/** Number of attempts per outcome other than served. */
export interface OutcomeCounts {
  /** Complete responses with a status of 500 or above. */
  readonly failed: number;
  /** Connections that could not be made. */
  readonly refused: number;
  /** Connections reset before the first byte of the response. */
  readonly reset: number;
  /** Incomplete or malformed responses. */
  readonly cut: number;
  /** Attempts without a complete response by the deadline. */
  readonly timedOut: number;
  /** Requests refused by load shedding; not a fault. */
  readonly shed: number;
  /** Running requests older than the route's 99th percentile. */
  readonly late: number;
  /** Running requests older than a multiple of that percentile. */
  readonly overdue: number;
}

/** Requests of one VM for one route and server since its last report. */
export interface RouteEvidence {
  readonly server: ServerId;
  readonly route: RouteId;
  /** Latencies of served requests. */
  readonly latencies: readonly BucketCount[];
  readonly outcomes: OutcomeCounts;
}

/** Evidence of one VM on one service since its last report. */
export interface EvidenceReport {
  readonly service: ServiceId;
  readonly vm: VmId;
  readonly zone: ZoneId;
  readonly entries: readonly RouteEvidence[];
}

/** Reference latencies of a route, pooled over the whole service. */
export interface RouteReference {
  readonly route: RouteId;
  /** 90th percentile in milliseconds. */
  readonly p90Ms: number;
  /** 99th percentile in milliseconds. */
  readonly p99Ms: number;
}
