/** Remembers which servers want no requests from this VM for a while. */

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import type { ServerId } from "@limpetford/domain/ids";

/** One start of a backend server. */
export type ServerStart = Pick<AnnouncedServer, "id" | "startedAtMs">;

interface Pause {
  readonly startedAtMs: number;
  /** Monotonic time at which it ends. */
  readonly untilMs: number;
}

/**
 * Pauses of servers, kept apart from the server list: a server may be missing
 * there for a moment and come back.
 */
export class PausedServers {
  readonly #pauses = new Map<ServerId, Pause>();

  /**
   * Records a pause. Of several of one start of the server the longest counts.
   *
   * @param server - the server
   * @param untilMs - monotonic time at which the pause ends
   * @param nowMs - monotonic time
   */
  record(server: ServerStart, untilMs: number, nowMs: number): void {
    this.#expire(nowMs);
    const known = this.findUntilMs(server);
    this.#pauses.set(server.id, {
      startedAtMs: server.startedAtMs,
      untilMs: Math.max(untilMs, known),
    });
  }

  /**
   * Finds the end of a server's pause.
   *
   * @param server - the server, with the start that the pause must be of
   * @returns monotonic time; 0 without a pause
   */
  findUntilMs({ id, startedAtMs }: ServerStart): number {
    const pause = this.#pauses.get(id);
    return pause?.startedAtMs === startedAtMs ? pause.untilMs : 0;
  }

  /**
   * Counts the servers that are paused.
   *
   * @param nowMs - monotonic time
   * @returns number of servers
   */
  count(nowMs: number): number {
    this.#expire(nowMs);
    return this.#pauses.size;
  }

  #expire(nowMs: number): void {
    for (const [id, { untilMs }] of this.#pauses) {
      if (untilMs <= nowMs) {
        this.#pauses.delete(id);
      }
    }
  }
}
