/** Encoding of server health for a handover to the shard's next holder. */

import type { ServerId } from "@limpetford/domain/ids";

import { type EjectionDecision, SERVER_MODE } from "./ejection_decision.ts";
import type { EncodedServerHealth } from "./server_health.ts";
import { computeBackoffMs } from "./server_health_machine.ts";

/** Health of one server, with times relative to the handover. */
export interface PortableServerHealth {
  readonly server: ServerId;
  readonly health: EncodedServerHealth;
}

/**
 * Converts times to relative ones, since monotonic clocks of two VMs can't be
 * compared.
 *
 * @param health - health per server, in this VM's monotonic time
 * @param nowMs - this VM's monotonic time in milliseconds
 * @returns health with times relative to now
 */
export function buildPortableHealth(
  health: ReadonlyMap<ServerId, EncodedServerHealth>,
  nowMs: number,
): readonly PortableServerHealth[] {
  return [...health].map(([server, encoded]) => ({
    server,
    health: addToTimes(encoded, -nowMs),
  }));
}

/**
 * Converts relative times back to this VM's monotonic time.
 *
 * @param portable - health with times relative to the handover
 * @param nowMs - this VM's monotonic time in milliseconds
 * @returns health per server, in this VM's monotonic time
 */
export function restoreHealth(
  portable: readonly PortableServerHealth[],
  nowMs: number,
): ReadonlyMap<ServerId, EncodedServerHealth> {
  return new Map(
    portable.map(({ server, health }) => [server, addToTimes(health, nowMs)]),
  );
}

/**
 * Restores health from the last decision of a holder that failed without a
 * handover.
 *
 * @param decision - last decision that this VM has received
 * @param nowMs - this VM's monotonic time in milliseconds
 * @returns health of each server on which there was a decision
 */
export function restoreFromDecision(
  decision: EjectionDecision,
  nowMs: number,
): ReadonlyMap<ServerId, EncodedServerHealth> {
  return new Map(
    decision.servers.map((entry) => [entry.server, {
      state: entry.mode === SERVER_MODE.checking ? "healthy" : entry.mode,
      context: {
        strikes: entry.strikes,
        changedAtMs: nowMs - entry.ageMs,
        untilMs: nowMs + computeBackoffMs(Math.max(1, entry.strikes)),
        successes: 0,
        severity: entry.severity,
        alternative: entry.reason,
      },
    }]),
  );
}

function addToTimes(
  encoded: EncodedServerHealth,
  offsetMs: number,
): EncodedServerHealth {
  return {
    state: encoded.state,
    context: {
      ...encoded.context,
      changedAtMs: encoded.context.changedAtMs + offsetMs,
      untilMs: encoded.context.untilMs + offsetMs,
    },
  };
}
