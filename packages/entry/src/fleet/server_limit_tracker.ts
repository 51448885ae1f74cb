/** Follows the rate limits that backend servers name in their responses. */

import {
  type ServerLimit,
  ServerLimitRegistry,
} from "@limpetford/core/limits/server_limit_registry";
import type { Clock } from "@limpetford/core/time/clock";
import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import { type ServerId, toId } from "@limpetford/domain/ids";
import type { ServerLimitRow } from "@limpetford/peer/fleet_sync";

import type { FleetLog } from "./fleet_log.ts";

/** Source in the log of what this VM has seen in responses. */
const SOURCE_OBSERVED = "observed";

/** Time for which a change is told to other VMs. */
const CHANGE_TOLD_MS = 3_000;
/** Most limits in one message. A VM that lacks one hears it from the server. */
const MAX_ROWS = 200;

/** One start of a backend server. */
export type ServerStart = Pick<AnnouncedServer, "id" | "startedAtMs">;

/** Dependencies of a {@link ServerLimitTracker}. */
export interface ServerLimitTrackerOptions {
  readonly clock: Clock;
  readonly log: FleetLog;
  /** Called when this VM is the first to see a limit named, changed or ended. */
  readonly notifyChange: () => void;
}

/** Keeps the newest known limit of each server, and logs its changes. */
export class ServerLimitTracker {
  readonly #options: ServerLimitTrackerOptions;
  readonly #registry = new ServerLimitRegistry();

  /**
   * Starts without any limit.
   *
   * @param options - clock, log and listener
   */
  constructor(options: ServerLimitTrackerOptions) {
    this.#options = options;
  }

  /**
   * Counts the servers with a limit.
   *
   * @returns number of servers
   */
  get limitedCount(): number {
    return this.#registry.limitedCount;
  }

  /**
   * Finds the limit of a server.
   *
   * @param server - the server, with the start that the limit must be of
   * @returns the limit or its end; undefined if nothing is known
   */
  find(server: ServerStart): ServerLimit | undefined {
    return this.#registry.find(server.id, server.startedAtMs);
  }

  /**
   * Finds the limit of a server, to be sent to another VM.
   *
   * @param server - the server, with the start that the limit must be of
   * @returns the limit or its end; undefined if nothing is known
   */
  findRow(server: ServerStart): ServerLimitRow | undefined {
    const limit = this.find(server);
    return limit && this.#buildRow(server.id, limit);
  }

  /**
   * Lists the limits that another VM may not have heard of.
   *
   * @param knownForMs - time for which this VM has known the other one
   * @returns limits and ends of limits that changed lately; for a VM that is new
   * all of them, up to a bound
   */
  listRows(knownForMs: number): readonly ServerLimitRow[] {
    const nowMs = this.#options.clock.readMonotonicMs();
    const sinceMs = knownForMs < CHANGE_TOLD_MS
      ? -Infinity
      : nowMs - CHANGE_TOLD_MS;
    return this.#registry.listChangedSince(sinceMs).slice(-MAX_ROWS).map((
      [server, limit],
    ) => this.#buildRow(server, limit));
  }

  /**
   * Records that a response names a limit.
   *
   * @param server - the server, as announced when the request was sent
   * @param requestsPerSecond - the limit, for all VMs together
   */
  recordNamed(server: ServerStart, requestsPerSecond: number): void {
    this.#applyObserved(server, requestsPerSecond);
  }

  /**
   * Records that a server has stopped naming a limit.
   *
   * @param server - the server
   */
  recordEnd(server: ServerStart): void {
    this.#applyObserved(server, undefined);
  }

  /**
   * Applies the end of a limit as another VM reports it.
   *
   * @param server - the server
   * @param ageMs - time since the end
   * @param source - the other VM
   */
  applyEnd(server: ServerStart, ageMs: number, source: string): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    this.#apply(server.id, {
      startedAtMs: server.startedAtMs,
      requestsPerSecond: undefined,
      knownAtMs: nowMs - ageMs,
    }, source);
  }

  /**
   * Applies limits as another VM reports them.
   *
   * @param rows - limits and ends of limits
   * @param sentAtMs - monotonic time of this VM before which the rows cannot
   * have been built; the end of a limit counts from it, a limit from now
   * @param source - the other VM
   */
  applyRows(
    rows: readonly ServerLimitRow[],
    sentAtMs: number,
    source: string,
  ): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    for (const row of rows) {
      const builtAtMs = row.requestsPerSecond === undefined ? sentAtMs : nowMs;
      this.#apply(toId<ServerId>(row.server), {
        startedAtMs: row.startedAtMs,
        requestsPerSecond: row.requestsPerSecond,
        knownAtMs: builtAtMs - row.ageMs,
      }, source);
    }
  }

  /**
   * Drops the limits of servers that are gone or have restarted.
   *
   * @param servers - the present servers
   */
  expire(servers: readonly ServerStart[]): void {
    this.#registry.expire(
      new Map(servers.map(({ id, startedAtMs }) => [id, startedAtMs])),
      this.#options.clock.readMonotonicMs(),
    );
  }

  #applyObserved(
    { id, startedAtMs }: ServerStart,
    requestsPerSecond: number | undefined,
  ): void {
    const knownAtMs = this.#options.clock.readMonotonicMs();
    const limit = { startedAtMs, requestsPerSecond, knownAtMs };
    if (this.#apply(id, limit, SOURCE_OBSERVED)) {
      this.#options.notifyChange();
    }
  }

  #apply(id: ServerId, limit: ServerLimit, source: string): boolean {
    const nowMs = this.#options.clock.readMonotonicMs();
    if (!this.#registry.apply(id, limit, nowMs)) {
      return false;
    }
    const { log } = this.#options;
    const { requestsPerSecond } = limit;
    if (requestsPerSecond === undefined) {
      log.record("server-limit-ended", { server: id, source });
    } else {
      log.record("server-limit-named", {
        server: id,
        requestsPerSecond,
        source,
      });
    }
    return true;
  }

  #buildRow(server: ServerId, limit: ServerLimit): ServerLimitRow {
    const nowMs = this.#options.clock.readMonotonicMs();
    const { startedAtMs, requestsPerSecond, knownAtMs } = limit;
    return {
      server,
      startedAtMs,
      ...requestsPerSecond === undefined ? {} : { requestsPerSecond },
      ageMs: Math.round(nowMs - knownAtMs),
    };
  }
}
