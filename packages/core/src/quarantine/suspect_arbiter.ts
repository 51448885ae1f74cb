/** Grants runs of requests suspected of crashing servers, at the holder. */

import type { ServerId, VmId } from "@limpetford/domain/ids";

/** Different servers that a request has to crash before it is quarantined. */
const CRASHES_TO_QUARANTINE = 2;
/** Time after which a permit that was not released expires. */
const PERMIT_TIMEOUT_MS = 5_000;
/** Time without a crash after which a suspicion expires. */
const SUSPICION_TIMEOUT_MS = 600_000;

/** Report that a server crashed while it was running a request. */
export interface CrashReport {
  /** Fingerprint of the request. */
  readonly fingerprint: string;
  readonly server: ServerId;
  /** VM that sent the request and observed the crash. */
  readonly vm: VmId;
}

/** State of a request after a crash was recorded. */
export type SuspicionVerdict = "suspect" | "quarantined";

/** Reply to a VM that asks for a permit to run a suspect request. */
export type PermitVerdict =
  /** The VM may run the request; no other VM does. */
  | "granted"
  /** The request is not suspect, or no longer. */
  | "cleared"
  /** Another VM is running the request. */
  | "busy"
  /** The request may not run. */
  | "quarantined";

interface Suspicion {
  readonly crashedServers: Set<ServerId>;
  runningUntilMs: number;
  lastCrashAtMs: number;
}

/**
 * Permits one VM at a time to run a suspect request, so that the request can
 * crash only one more server before it is quarantined.
 */
export class SuspectArbiter {
  readonly #suspicions = new Map<string, Suspicion>();

  /**
   * Records a crash with a request in flight.
   *
   * @param notice - the request and the server
   * @param nowMs - monotonic time, in milliseconds
   * @returns `quarantined` once two different servers have crashed
   */
  recordCrash(notice: CrashReport, nowMs: number): SuspicionVerdict {
    const known = this.#suspicions.get(notice.fingerprint);
    const suspicion = known ??
      { crashedServers: new Set(), runningUntilMs: 0, lastCrashAtMs: nowMs };
    this.#suspicions.set(notice.fingerprint, suspicion);
    suspicion.crashedServers.add(notice.server);
    suspicion.lastCrashAtMs = nowMs;
    return isQuarantined(suspicion) ? "quarantined" : "suspect";
  }

  /**
   * Decides whether a VM may run a suspect request. A permit expires if the VM
   * does not release it.
   *
   * @param fingerprint - fingerprint of the request
   * @param nowMs - monotonic time, in milliseconds
   * @returns `granted` if the VM now holds the permit
   */
  acquirePermit(fingerprint: string, nowMs: number): PermitVerdict {
    const suspicion = this.#suspicions.get(fingerprint);
    if (suspicion === undefined) {
      return "cleared";
    }
    if (isQuarantined(suspicion)) {
      return "quarantined";
    }
    if (nowMs < suspicion.runningUntilMs) {
      return "busy";
    }
    suspicion.runningUntilMs = nowMs + PERMIT_TIMEOUT_MS;
    return "granted";
  }

  /**
   * Releases the permit of a run that ended without a crash.
   *
   * @param fingerprint - fingerprint of the request
   * @param hasServed - true if the server answered, which ends the suspicion
   */
  releasePermit(fingerprint: string, hasServed: boolean): void {
    const suspicion = this.#suspicions.get(fingerprint);
    if (suspicion === undefined || isQuarantined(suspicion)) {
      return;
    }
    suspicion.runningUntilMs = 0;
    if (hasServed) {
      this.#suspicions.delete(fingerprint);
    }
  }

  /**
   * Removes the record of a request that an operator has released.
   *
   * @param fingerprint - fingerprint of the request
   */
  clear(fingerprint: string): void {
    this.#suspicions.delete(fingerprint);
  }

  /**
   * Drops suspicions that no crash has renewed for a long time.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  expire(nowMs: number): void {
    for (const [fingerprint, suspicion] of this.#suspicions) {
      if (nowMs - suspicion.lastCrashAtMs > SUSPICION_TIMEOUT_MS) {
        this.#suspicions.delete(fingerprint);
      }
    }
  }

  /**
   * Lists the suspect requests that are not quarantined.
   *
   * @returns their fingerprints
   */
  listSuspects(): readonly string[] {
    return [...this.#suspicions]
      .filter(([, suspicion]) => !isQuarantined(suspicion))
      .map(([fingerprint]) => fingerprint);
  }
}

function isQuarantined(suspicion: Suspicion): boolean {
  return suspicion.crashedServers.size >= CRASHES_TO_QUARANTINE;
}
