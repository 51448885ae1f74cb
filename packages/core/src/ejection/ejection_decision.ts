/** What the holder of a service's shard decides about its servers. */

import type { ServerId, ServiceId, VmId } from "@limpetford/domain/ids";

import type { RouteReference } from "../evidence/evidence_report.ts";

/** How VMs treat a server. */
export const SERVER_MODE = {
  /** Gets nothing. */
  ejected: "ejected",
  /** Gets single idempotent requests from some VMs. */
  trial: "trial",
  /** Gets a growing share. */
  ramping: "ramping",
  /** In full use; all VMs send their evidence at once. */
  checking: "checking",
} as const;
/** How VMs treat a server. */
export type ServerMode = typeof SERVER_MODE[keyof typeof SERVER_MODE];

/** Decision on one server; servers without one are in full use. */
export interface ServerDecision {
  readonly server: ServerId;
  readonly mode: ServerMode;
  /** Share of requests that it harmed, from 0 to 1. */
  readonly severity: number;
  /** Which way of being gray explains the evidence. */
  readonly reason: string;
  /** Time since the server came into this mode, in milliseconds. */
  readonly ageMs: number;
  /** VMs that probe the server or send it trial requests. */
  readonly probers: readonly VmId[];
  /** Ejections in a row; sets the back-off. */
  readonly strikes: number;
}

/** All decisions on a service, newest by epoch and then revision. */
export interface EjectionDecision {
  readonly service: ServiceId;
  readonly epoch: number;
  readonly revision: number;
  /** Worst first. */
  readonly servers: readonly ServerDecision[];
  readonly references: readonly RouteReference[];
}

/**
 * Checks whether a decision keeps ordinary requests from a server.
 *
 * @param decision - the decision on the server
 * @returns true if it is left out, as far as the floor allows
 */
export function isOutOfRotation(decision: ServerDecision): boolean {
  return decision.mode === SERVER_MODE.ejected ||
    decision.mode === SERVER_MODE.trial;
}

/**
 * Checks whether one decision replaces another.
 *
 * @param a - the decision just received
 * @param b - the decision in force
 * @returns true if a is newer
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
