/** The backend servers of the fleet, folded from their announcements. */

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import type { ServerId } from "@limpetford/domain/ids";
import { SERVER_STATE } from "@limpetford/domain/service";

/** A server's latest announcement, or that it is gone. */
export interface ServerChange {
  readonly id: ServerId;
  /** Undefined if the server is gone. */
  readonly server: AnnouncedServer | undefined;
  /** Place in the log of the last record that changed what is known. */
  readonly offset: number;
  /** Time until the server counts as gone, in milliseconds. */
  readonly goneInMs?: number;
}

interface ServerEntry {
  change: ServerChange;
  /** Last announcement, kept after the server is gone. */
  last: AnnouncedServer | undefined;
  /** When a removal takes effect; undefined without one. */
  removeAtMs: number | undefined;
}

/**
 * Folds records in the order of the log, and changes that another VM has
 * folded. A server that has said that it leaves does not come back under the
 * same start.
 */
export class AnnouncedServers {
  readonly #entries = new Map<ServerId, ServerEntry>();
  #nextOffset = 0;

  /**
   * Offset up to which all records are known.
   *
   * @returns the current value
   */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  /**
   * Applies an announcement.
   *
   * @param server - the announcement
   * @param offset - its place in the log
   * @returns true if what is known changed
   */
  applyAnnouncement(server: AnnouncedServer, offset: number): boolean {
    const entry = this.#findEntry(server.id);
    if (isOutdated(server, entry.last)) {
      return false;
    }
    const announced = keepLeaving(server, entry.last);
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
   * Applies the removal of a server.
   *
   * @param id - the server
   * @param offset - place of the removal in the log
   * @param effectiveAtMs - monotonic time at which it takes effect
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
   * Applies what another VM has folded.
   *
   * @param changes - its changes
   * @param options - offset up to which it knows all records, and the time
   * @returns true if what is known changed
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
   * Removes every server that a snapshot does not list.
   *
   * @param listed - servers in the snapshot
   * @param options - the snapshot's end and when removals take effect
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
   * Marks records as read.
   *
   * @param nextOffset - offset up to which all records are known
   */
  markRead(nextOffset: number): void {
    this.#nextOffset = Math.max(this.#nextOffset, nextOffset);
  }

  /**
   * Lets removals take effect.
   *
   * @param nowMs - monotonic time
   * @returns true if a server went
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
   * Lists the servers that are not gone.
   *
   * @returns their latest announcements
   */
  listServers(): readonly AnnouncedServer[] {
    return [...this.#entries.values()].flatMap(({ change }) =>
      change.server === undefined ? [] : [change.server]
    );
  }

  /**
   * Lists changes from an offset on.
   *
   * @param fromOffset - the receiver knows all records before it
   * @param nowMs - monotonic time
   * @returns the changes
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

// Announcements may be repeated out of order.
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

function keepLeaving(
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
