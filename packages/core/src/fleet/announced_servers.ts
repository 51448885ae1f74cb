/** Registry of backend servers, built from the announcements in the log. */

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import type { ServerId } from "@limpetford/domain/ids";
import { SERVER_STATE } from "@limpetford/domain/service";

/** Current state of a server, as VMs send it to each other. */
export interface ServerChange {
  readonly id: ServerId;
  /** Latest announcement; undefined if the server is removed. */
  readonly server: AnnouncedServer | undefined;
  /** Log offset of the last record that changed the state. */
  readonly offset: number;
  /** Time until a pending removal takes effect, in milliseconds. */
  readonly goneInMs?: number;
}

interface ServerEntry {
  change: ServerChange;
  /** Last announcement; kept after removal to detect outdated ones. */
  last: AnnouncedServer | undefined;
  /** Monotonic time of a pending removal; undefined if none is pending. */
  removeAtMs: number | undefined;
}

/**
 * Applies announcements in log order and the states that other VMs send. A
 * server that has announced that it is leaving stays so until it restarts.
 */
export class AnnouncedServers {
  readonly #entries = new Map<ServerId, ServerEntry>();
  #nextOffset = 0;

  /**
   * Log offset of the next record to read.
   *
   * @returns an offset; all records before it have been applied
   */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  /**
   * Applies an announcement. It cancels a pending removal.
   *
   * @param server - announced state; ignored if older than the last one
   * @param offset - its log offset
   * @returns true if the server's state changed
   */
  applyAnnouncement(server: AnnouncedServer, offset: number): boolean {
    const entry = this.#findEntry(server.id);
    if (isOutdated(server, entry.last)) {
      return false;
    }
    const announced = keepLeavingState(server, entry.last);
    const wasGone = entry.change.server === undefined ||
      entry.removeAtMs !== undefined;
    entry.removeAtMs = undefined;
    const isChanged = wasGone || !isSameServer(announced, entry.last);
    entry.last = announced;
    entry.change = {
      id: server.id,
      server: announced,
      offset: isChanged ? offset : entry.change.offset,
    };
    return isChanged;
  }

  /**
   * Schedules the removal of a server. An earlier pending removal keeps its
   * time.
   *
   * @param id - server to remove; ignored if not announced
   * @param offset - log offset of the removal
   * @param effectiveAtMs - monotonic time at which the removal takes effect
   */
  applyRemoval(id: ServerId, offset: number, effectiveAtMs: number): void {
    const entry = this.#entries.get(id);
    if (entry?.change.server === undefined) {
      return;
    }
    entry.removeAtMs ??= effectiveAtMs;
    entry.change = { ...entry.change, offset };
  }

  /**
   * Applies the server states that another VM has sent.
   *
   * @param changes - states; those with an older log offset are ignored
   * @param options - the sender's next offset, and the monotonic time
   * @returns true if the state of any server changed
   */
  applyChanges(
    changes: readonly ServerChange[],
    { nextOffset, nowMs }: {
      readonly nextOffset: number;
      readonly nowMs: number;
    },
  ): boolean {
    let isChanged = false;
    for (const change of changes) {
      const entry = this.#findEntry(change.id);
      if (change.offset > entry.change.offset) {
        const { id, server, offset, goneInMs } = change;
        entry.change = { id, server, offset };
        entry.last = server ?? entry.last;
        entry.removeAtMs = goneInMs === undefined
          ? undefined
          : nowMs + goneInMs;
        isChanged = true;
      }
    }
    this.markRead(nextOffset);
    return isChanged;
  }

  /**
   * Schedules the removal of every server that a snapshot does not list.
   *
   * @param listed - identifiers of the servers in the snapshot
   * @param options - the snapshot's end offset, and the monotonic time at which
   * the removals take effect
   */
  removeUnlisted(
    listed: ReadonlySet<string>,
    options: { readonly endOffset: number; readonly effectiveAtMs: number },
  ): void {
    for (const [id, entry] of this.#entries) {
      if (!listed.has(id) && entry.change.offset < options.endOffset) {
        this.applyRemoval(id, options.endOffset, options.effectiveAtMs);
      }
    }
    this.markRead(options.endOffset);
  }

  /**
   * Marks all records before an offset as applied. The offset never decreases.
   *
   * @param nextOffset - log offset of the next record to read
   */
  markRead(nextOffset: number): void {
    this.#nextOffset = Math.max(this.#nextOffset, nextOffset);
  }

  /**
   * Removes the servers whose pending removal is due.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns true if any server was removed
   */
  expireRemoved(nowMs: number): boolean {
    let isChanged = false;
    for (const entry of this.#entries.values()) {
      if (entry.removeAtMs !== undefined && entry.removeAtMs <= nowMs) {
        entry.removeAtMs = undefined;
        entry.change = { ...entry.change, server: undefined };
        isChanged = true;
      }
    }
    return isChanged;
  }

  /**
   * Lists the servers that are not removed, also those with a pending removal.
   *
   * @returns the latest announcement of each server
   */
  listServers(): readonly AnnouncedServer[] {
    return [...this.#entries.values()].flatMap(({ change }) =>
      change.server === undefined ? [] : [change.server]
    );
  }

  /**
   * Lists the states that changed at an offset or later, to be sent to another
   * VM.
   *
   * @param fromOffset - the receiver has applied all records before it
   * @param nowMs - monotonic time, in milliseconds
   * @returns the current state of each server that changed
   */
  listChangesSince(
    fromOffset: number,
    nowMs: number,
  ): readonly ServerChange[] {
    const changes: ServerChange[] = [];
    for (const { change, removeAtMs } of this.#entries.values()) {
      if (change.offset >= fromOffset) {
        changes.push(
          removeAtMs === undefined
            ? change
            : { ...change, goneInMs: Math.max(0, removeAtMs - nowMs) },
        );
      }
    }
    return changes;
  }

  #findEntry(id: ServerId): ServerEntry {
    const known = this.#entries.get(id);
    if (known !== undefined) {
      return known;
    }
    const created: ServerEntry = {
      change: { id, server: undefined, offset: -1 },
      last: undefined,
      removeAtMs: undefined,
    };
    this.#entries.set(id, created);
    return created;
  }
}

// Announcements may arrive repeatedly and out of order.
function isOutdated(
  server: AnnouncedServer,
  last: AnnouncedServer | undefined,
): boolean {
  if (last === undefined || server.startedAtMs > last.startedAtMs) {
    return false;
  }
  return server.startedAtMs < last.startedAtMs ||
    server.sequence <= last.sequence;
}

function keepLeavingState(
  server: AnnouncedServer,
  last: AnnouncedServer | undefined,
): AnnouncedServer {
  const hasLeft = last?.state === SERVER_STATE.leaving &&
    last.startedAtMs === server.startedAtMs;
  return hasLeft ? { ...server, state: SERVER_STATE.leaving } : server;
}

function isSameServer(
  a: AnnouncedServer,
  b: AnnouncedServer | undefined,
): boolean {
  return a.service === b?.service && a.state === b.state &&
    a.zone === b.zone && a.slots === b.slots &&
    a.startedAtMs === b.startedAtMs &&
    a.address.host === b.address.host && a.address.port === b.address.port;
}
