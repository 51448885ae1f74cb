/** The servers of one service, as one VM tracks them. */

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import type { ServerId } from "@limpetford/domain/ids";

import { PausedServers, type ServerStart } from "./paused_servers.ts";
import { TrackedServer } from "./tracked_server.ts";

/** Keeps the tracked servers in step with the announced ones. */
export class ServerTable {
  readonly #servers = new Map<ServerId, TrackedServer>();
  readonly #paused = new PausedServers();

  /**
   * Lists the servers that were set last.
   *
   * @returns active and leaving servers
   */
  list(): readonly TrackedServer[] {
    return [...this.#servers.values()];
  }

  /**
   * Finds a server.
   *
   * @param id - identifier of the server
   * @returns the server; undefined if it is not one of the service
   */
  find(id: ServerId): TrackedServer | undefined {
    return this.#servers.get(id);
  }

  /**
   * Replaces the servers; one of the same start and address keeps its state.
   *
   * @param announced - the service's servers
   * @param grayShare - share of the service's servers in gray failure, 0 to 1
   * @param nowMs - monotonic time, in milliseconds
   */
  setServers(
    announced: readonly AnnouncedServer[],
    grayShare: number,
    nowMs: number,
  ): void {
    const listed = new Set(announced.map((server) => server.id));
    for (const id of this.#servers.keys()) {
      if (!listed.has(id)) {
        this.#servers.delete(id);
      }
    }
    for (const server of announced) {
      const known = this.#servers.get(server.id);
      if (known?.isSameStart(server) === true) {
        known.announced = server;
      } else {
        const tracked = new TrackedServer(server, grayShare, nowMs);
        tracked.setPausedUntil(this.#paused.findUntilMs(server));
        this.#servers.set(server.id, tracked);
      }
    }
  }

  /**
   * Records that a server wants no requests from this VM for a while.
   *
   * @param server - the server, as announced when the request was sent
   * @param untilMs - monotonic time at which the pause ends
   * @param nowMs - monotonic time, in milliseconds
   */
  recordPause(server: ServerStart, untilMs: number, nowMs: number): void {
    this.#paused.record(server, untilMs, nowMs);
    const tracked = this.#servers.get(server.id);
    if (tracked?.announced.startedAtMs === server.startedAtMs) {
      tracked.setPausedUntil(untilMs);
    }
  }

  /**
   * Counts the servers that want no requests from this VM.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns number of servers
   */
  countPaused(nowMs: number): number {
    return this.#paused.count(nowMs);
  }
}
