/** What a VM knows of the rate limits that backend servers name. */

import type { ServerId } from "@limpetford/domain/ids";

/** Time for which the end of a limit is remembered, to be told to other VMs. */
const ENDED_KEPT_MS = 10_000;
/** Time for which the limit of a server that is not listed is remembered. */
const UNLISTED_KEPT_MS = 60_000;

/** Rate limit of one start of a backend server, or the end of one. */
export interface ServerLimit {
  /** Wall-clock start time of the server that named it, in milliseconds. */
  readonly startedAtMs: number;
  /** For all VMs together; undefined if the limit has ended. */
  readonly requestsPerSecond: number | undefined;
  /** Monotonic time of this VM at which it was last known to hold. */
  readonly knownAtMs: number;
}

interface RegisteredLimit extends ServerLimit {
  /** Monotonic time of the last change of the limit in force. */
  readonly changedAtMs: number;
}

/** Holds the newest known limit of each server. */
export class ServerLimitRegistry {
  // In the order of the last change, the newest last.
  readonly #limits = new Map<ServerId, RegisteredLimit>();

  /**
   * Counts the servers with a limit.
   *
   * @returns number of servers
   */
  get limitedCount(): number {
    return [...this.#limits.values()].filter((limit) =>
      limit.requestsPerSecond !== undefined
    ).length;
  }

  /**
   * Lists limits, and the ends of limits that are still remembered.
   *
   * @param sinceMs - monotonic time; limits that have not changed since are left
   * out
   * @returns servers and their limits, in the order of their last change
   */
  listChangedSince(
    sinceMs: number,
  ): readonly (readonly [ServerId, ServerLimit])[] {
    return [...this.#limits].filter(([, { changedAtMs }]) =>
      changedAtMs >= sinceMs
    );
  }

  /**
   * Finds what is known of a server's limit.
   *
   * @param server - the server
   * @param startedAtMs - its start; the limit of another start does not hold
   * @returns the limit or its end; undefined if nothing is known
   */
  find(server: ServerId, startedAtMs: number): ServerLimit | undefined {
    const known = this.#limits.get(server);
    return known?.startedAtMs === startedAtMs ? known : undefined;
  }

  /**
   * Applies what was learned of a server's limit, unless something newer or a
   * later start of the server is known.
   *
   * @param server - the server
   * @param limit - its limit, or the end of it
   * @param nowMs - monotonic time
   * @returns true if the limit in force has changed
   */
  apply(server: ServerId, limit: ServerLimit, nowMs: number): boolean {
    const known = this.#limits.get(server);
    const isOutdated = known !== undefined &&
      (limit.startedAtMs < known.startedAtMs ||
        (limit.startedAtMs === known.startedAtMs &&
          limit.knownAtMs <= known.knownAtMs));
    if (isOutdated) {
      return false;
    }
    const before = known?.startedAtMs === limit.startedAtMs ? known : undefined;
    const hasChanged = before?.requestsPerSecond !== limit.requestsPerSecond;
    if (hasChanged) {
      this.#limits.delete(server);
    }
    const changedAtMs = hasChanged ? nowMs : before?.changedAtMs ?? nowMs;
    this.#limits.set(server, { ...limit, changedAtMs });
    return hasChanged;
  }

  /**
   * Drops limits of servers that have restarted or been gone for long, and ends
   * of limits that every VM has heard of.
   *
   * @param startedAtMs - start of each listed server
   * @param nowMs - monotonic time
   */
  expire(startedAtMs: ReadonlyMap<ServerId, number>, nowMs: number): void {
    for (const [server, limit] of this.#limits) {
      const listed = startedAtMs.get(server);
      const ageMs = nowMs - limit.knownAtMs;
      const isEnded = limit.requestsPerSecond === undefined &&
        ageMs > ENDED_KEPT_MS;
      const isGone = listed === undefined && ageMs > UNLISTED_KEPT_MS;
      const hasRestarted = listed !== undefined && listed > limit.startedAtMs;
      if (isEnded || isGone || hasRestarted) {
        this.#limits.delete(server);
      }
    }
  }
}
