/** Ejection decisions of the VM that holds a service's shard. */

import type { ServerId, ServiceId, VmId } from "@limpetford/domain/ids";

import type { RouteReference } from "../evidence/evidence_report.ts";

/** How the VMs route requests to a server. */
export const SERVER_MODE = {
  /** Out of rotation; gets health probes only. */
  ejected: "ejected",
  /** Out of rotation; gets single idempotent requests from some VMs. */
  trial: "trial",
  /** Back in rotation with a growing share of its load. */
  ramping: "ramping",
  /** In rotation; all VMs send their evidence at once. */
  checking: "checking",
} as const;
/** One of the modes of {@link SERVER_MODE}. */
export type ServerMode = typeof SERVER_MODE[keyof typeof SERVER_MODE];

/** Decision on one server. Servers without a decision get their full share. */
export interface ServerDecision {
  readonly server: ServerId;
  readonly mode: ServerMode;
  /** Share of failed and very slow requests at detection, from 0 to 1. */
  readonly severity: number;
  /** Name of the gray alternative with the highest score, or "none". */
  readonly reason: string;
  /** Time since the server's health state last changed, in milliseconds. */
  readonly ageMs: number;
  /** VMs that probe the server or send it trial requests. */
  readonly probers: readonly VmId[];
  /** Consecutive ejections; the backoff grows with them. */
  readonly strikes: number;
}

/** All decisions on a service. The highest epoch, then revision, is current. */
export interface EjectionDecision {
  readonly service: ServiceId;
  /** Epoch of the shard's ownership. */
  readonly epoch: number;
  /** Number of changes within the epoch. */
  readonly revision: number;
  /** Decisions on single servers, highest severity first. */
  readonly servers: readonly ServerDecision[];
  readonly references: readonly RouteReference[];
}

/**
 * Checks whether a decision takes a server out of rotation.
 *
 * @param decision - decision on the server
 * @returns true if ordinary requests avoid the server, as far as the floor
 *   allows
 */
export function isOutOfRotation(decision: ServerDecision): boolean {
  return decision.mode === SERVER_MODE.ejected ||
    decision.mode === SERVER_MODE.trial;
}

/**
 * Checks whether a received decision replaces the current one.
 *
 * @param a - decision just received
 * @param b - decision in force; undefined if there is none
 * @returns true if a is newer than b
 */
export function isNewerDecision(
  a: EjectionDecision,
  b: EjectionDecision | undefined,
): boolean {
  if (b === undefined) {
    return true;
  }
  return a.epoch === b.epoch ? a.revision > b.revision : a.epoch > b.epoch;
}
