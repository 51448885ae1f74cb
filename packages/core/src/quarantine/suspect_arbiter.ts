/** Runs of requests suspected of crashing servers, at a service's holder. */

import type { ServerId, VmId } from "@limpetford/domain/ids";

const CRASHES_TO_QUARANTINE = 2;
const PERMIT_MS = 5_000;
const SUSPICION_MS = 600_000;

/** A server that broke down with a request in flight. */
export interface CrashReport {
  readonly fingerprint: string;
  readonly server: ServerId;
  readonly vm: VmId;
}

/** What follows a crash notice. */
export type SuspicionVerdict = "suspect" | "quarantined";

/** Answer to a VM that would run a suspect. */
export type PermitVerdict =
  /** Run it; nobody else does. */
  | "granted"
  /** It has run well since. */
  | "cleared"
  /** Another VM is running it. */
  | "busy"
  | "quarantined";

interface Suspicion {
  readonly crashed: Set<ServerId>;
  runningUntilMs: number;
  seenAtMs: number;
}

/**
 * Lets one VM at a time run a suspect, so that its second crash is its last.
 */
export class SuspectArbiter {
  readonly #suspicions = new Map<string, Suspicion>();

  /**
   * Records a crash.
   *
   * @param notice - which request was in flight where
   * @param nowMs - monotonic time
   * @returns quarantined after crashes of two different servers
   */
  recordCrash(notice: CrashReport, nowMs: number): SuspicionVerdict {
    const known = this.#suspicions.get(notice.fingerprint);
    const suspicion = known ??
      { crashed: new Set(), runningUntilMs: 0, seenAtMs: nowMs };
    this.#suspicions.set(notice.fingerprint, suspicion);
    suspicion.crashed.add(notice.server);
    suspicion.seenAtMs = nowMs;
    return isQuarantined(suspicion) ? "quarantined" : "suspect";
  }

  /**
   * Decides whether a VM may run a suspect.
   *
   * @param fingerprint - the request
   * @param nowMs - monotonic time
   * @returns the decision
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
    suspicion.runningUntilMs = nowMs + PERMIT_MS;
    return "granted";
  }

  /**
   * Ends a permitted run that crashed nothing.
   *
   * @param fingerprint - the request
   * @param hasServed - true if the server answered it
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
   * Forgets a request that an operator has released.
   *
   * @param fingerprint - the request
   */
  clear(fingerprint: string): void {
    this.#suspicions.delete(fingerprint);
  }

  /**
   * Drops suspicions that nothing has confirmed for a long time.
   *
   * @param nowMs - monotonic time
   */
  expire(nowMs: number): void {
    for (const [fingerprint, suspicion] of this.#suspicions) {
      if (nowMs - suspicion.seenAtMs > SUSPICION_MS) {
        this.#suspicions.delete(fingerprint);
      }
    }
  }

  /**
   * Lists suspects that are not quarantined.
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
  return suspicion.crashed.size >= CRASHES_TO_QUARANTINE;
}
