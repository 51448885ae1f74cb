/** How many requests of each team a service has lately been given. */

import type { TeamId } from "@limpetford/domain/ids";

/** Time constant with which placed requests are forgotten. */
const DECAY_MS = 2_000;
const EXPIRE_INTERVAL_MS = 10_000;
/** Teams with a lower count are dropped. */
const MIN_COUNT = 0.01;

interface TeamCount {
  readonly count: number;
  readonly atMs: number;
}

/** Keeps a decaying count of the placed requests of each team. */
export class TeamServiceMeter {
  readonly #counts = new Map<TeamId | undefined, TeamCount>();
  #expiredAtMs = 0;

  /**
   * Records that a request was placed.
   *
   * @param team - its team; undefined on open routes
   * @param nowMs - monotonic time
   */
  recordPlaced(team: TeamId | undefined, nowMs: number): void {
    this.#expire(nowMs);
    this.#counts.set(team, {
      count: this.readCount(team, nowMs) + 1,
      atMs: nowMs,
    });
  }

  /**
   * Reads a team's count.
   *
   * @param team - the team; undefined on open routes
   * @param nowMs - monotonic time
   * @returns requests; those of the last seconds weigh most
   */
  readCount(team: TeamId | undefined, nowMs: number): number {
    const known = this.#counts.get(team);
    return known === undefined
      ? 0
      : known.count * Math.exp((known.atMs - nowMs) / DECAY_MS);
  }

  #expire(nowMs: number): void {
    if (nowMs < this.#expiredAtMs + EXPIRE_INTERVAL_MS) {
      return;
    }
    this.#expiredAtMs = nowMs;
    for (const team of this.#counts.keys()) {
      if (this.readCount(team, nowMs) < MIN_COUNT) {
        this.#counts.delete(team);
      }
    }
  }
}
