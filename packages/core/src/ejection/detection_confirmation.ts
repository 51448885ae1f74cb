/** Confirmation of gray detections before they lead to an ejection. */

import type { ServerId } from "@limpetford/domain/ids";

import type { GrayDetection } from "../detection/gray_detection.ts";

// Time that evidence under way from other VMs has to arrive.
const CHECK_MS = 60;
const CHECK_VALID_MS = 1_000;
const MAX_RECHECK_DELAY_MS = 30_000;

interface Check {
  beganAtMs: number;
  /** Time from the beginning after which the server may be checked again. */
  recheckDelayMs: number;
  /** When slowness was first detected during this check. */
  detectedAtMs: number | undefined;
}

/**
 * Delays ejections until the evidence of all VMs is in. Faults are reported
 * sooner than successes, so the first evidence on a server is biased. While a
 * server is checked, all VMs send their evidence at once, and some VMs of its
 * zone send it requests, so that the evidence comes from more than a few VMs.
 */
export class DetectionConfirmation {
  readonly #checks = new Map<ServerId, Check>();
  readonly #open = new Set<ServerId>();

  /**
   * Begins checks of suspected servers, and checks slow ones again once they
   * are detected.
   *
   * @param suspected - servers above the suspicion threshold
   * @param detected - servers above the detection threshold
   * @param nowMs - monotonic time in milliseconds
   * @returns true if a check has begun of which the VMs have to be notified
   */
  begin(
    suspected: readonly ServerId[],
    detected: readonly GrayDetection[],
    nowMs: number,
  ): boolean {
    this.#closeExpired(nowMs);
    let hasBegun = false;
    for (const server of suspected) {
      hasBegun = this.#beginOne(server, nowMs) || hasBegun;
    }
    for (const { server, isLatency } of detected) {
      const check = this.#checks.get(server);
      if (
        check !== undefined && isLatency && check.detectedAtMs === undefined
      ) {
        check.detectedAtMs = nowMs;
        this.#open.add(server);
        hasBegun = true;
      }
    }
    return hasBegun;
  }

  /**
   * Lists the detections that still hold after the evidence under way has
   * arrived. Slowness is checked again once it is detected, since late requests
   * are reported sooner than fast ones.
   *
   * @param detected - all servers above the detection threshold
   * @param nowMs - monotonic time in milliseconds
   * @returns detections that may lead to an ejection
   */
  listConfirmed(
    detected: readonly GrayDetection[],
    nowMs: number,
  ): readonly GrayDetection[] {
    return detected.filter(({ server, isLatency }) => {
      const check = this.#checks.get(server);
      const sinceMs = isLatency ? check?.detectedAtMs : check?.beganAtMs;
      return sinceMs !== undefined && nowMs - sinceMs >= CHECK_MS;
    });
  }

  /**
   * Checks whether a check of a server is open.
   *
   * @param server - server of the shard's service
   * @returns true if all VMs are to send their evidence on it at once
   */
  isChecked(server: ServerId): boolean {
    return this.#open.has(server);
  }

  #beginOne(server: ServerId, nowMs: number): boolean {
    const known = this.#checks.get(server);
    if (known !== undefined && nowMs - known.beganAtMs < known.recheckDelayMs) {
      return false;
    }
    const recheckDelayMs = known === undefined
      ? CHECK_VALID_MS
      : Math.min(MAX_RECHECK_DELAY_MS, 2 * known.recheckDelayMs);
    this.#checks.set(server, {
      beganAtMs: nowMs,
      recheckDelayMs,
      detectedAtMs: undefined,
    });
    this.#open.add(server);
    return true;
  }

  #closeExpired(nowMs: number): void {
    for (const [server, check] of this.#checks) {
      const lastMs = Math.max(check.beganAtMs, check.detectedAtMs ?? 0);
      if (nowMs - lastMs > CHECK_VALID_MS) {
        this.#open.delete(server);
        check.detectedAtMs = undefined;
      }
      if (nowMs - check.beganAtMs > 2 * MAX_RECHECK_DELAY_MS) {
        this.#checks.delete(server);
      }
    }
  }
}
