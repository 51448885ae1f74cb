/** Registry of backend servers, built from their announcements. */

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import type { ServerId } from "@limpetford/domain/ids";
import { SERVER_STATE } from "@limpetford/domain/service";

import {
  compareAnnouncements,
  isSameServer,
  keepLeavingState,
  pickLaterAnnouncement,
} from "./announcement_order.ts";
import {
  compareLogPositions,
  type LogPosition,
  pickLaterPosition,
} from "./log_position.ts";
import { RevisionLog } from "./revision_log.ts";
import type { ServerChange, ServerChanges } from "./server_changes.ts";
import {
  computeRemovalRank,
  isBeforeRemoval,
  isEndOfDeferral,
  type ServerEntry,
} from "./server_entry.ts";

const NO_POSITION: LogPosition = { era: 0, offset: 0 };
/**
 * How long a removed server is kept, so that a copy of the store or a VM that was
 * paused does not bring it back. Copies are seconds old.
 */
const REMOVED_KEPT_MS = 600_000;

/**
 * Merges announcements, removals and the states that other VMs send. Within an
 * era of the store, the log decides which state is newer. Between eras, the
 * server's own start and sequence number do, since a store that returned from a
 * copy shows older states. A server that has announced that it is leaving stays
 * so until it restarts.
 */
export class AnnouncedServers {
  readonly #entries = new Map<ServerId, ServerEntry>();
  readonly #revisions = new RevisionLog();
  #nextPosition: LogPosition | undefined;
  /** End of the snapshot that this VM has read first in the present era. */
  #eraStart: LogPosition | undefined;

  /**
   * Position of the next record to read.
   *
   * @returns all records before it have been applied; undefined if none was read
   */
  get nextPosition(): LogPosition | undefined {
    return this.#nextPosition;
  }

  /**
   * Applies an announcement. It cancels a pending removal.
   *
   * @param server - announced state; ignored unless newer than the last one
   * @param position - its position in the log
   * @returns true if the server's state changed
   */
  applyAnnouncement(server: AnnouncedServer, position: LogPosition): boolean {
    const entry = this.#entries.get(server.id);
    if (
      entry !== undefined && (compareAnnouncements(server, entry.last) <= 0 ||
        isBeforeRemoval({ server, position }, entry))
    ) {
      return false;
    }
    const announced = keepLeavingState(server, entry?.last);
    const isChanged = entry === undefined || entry.isGone ||
      entry.removeAtMs !== undefined || !isSameServer(announced, entry.last);
    // The first announcement in an era shows other VMs that the server is not
    // among those that the store has lost.
    const isShared = isChanged || entry.position.era < position.era;
    this.#entries.set(server.id, {
      last: announced,
      isGone: false,
      position: isShared ? position : entry.position,
      removeAtMs: undefined,
      goneAtMs: undefined,
    });
    if (isShared) {
      this.#revisions.record(server.id);
    }
    return isChanged;
  }

  /**
   * Records that a server has said itself that it is leaving, whatever it has
   * announced. It stays so until it starts again.
   *
   * @param id - the server
   * @param startedAtMs - start of the server that said so
   * @returns true if the server was not known to be leaving
   */
  markLeaving(id: ServerId, startedAtMs: number): boolean {
    const entry = this.#entries.get(id);
    if (
      entry?.last.startedAtMs !== startedAtMs ||
      entry.last.state === SERVER_STATE.leaving
    ) {
      return false;
    }
    entry.last = { ...entry.last, state: SERVER_STATE.leaving };
    this.#revisions.record(id);
    return true;
  }

  /**
   * Schedules the removal of a server. An earlier pending removal keeps its
   * time.
   *
   * @param id - server to remove; ignored if not announced
   * @param position - position of the removal in the log
   * @param effectiveAtMs - monotonic time at which the removal takes effect
   * @returns true if the removal was not known
   */
  applyRemoval(
    id: ServerId,
    position: LogPosition,
    effectiveAtMs: number,
  ): boolean {
    const entry = this.#entries.get(id);
    if (
      entry === undefined || entry.isGone || entry.removeAtMs !== undefined
    ) {
      return false;
    }
    entry.removeAtMs = effectiveAtMs;
    entry.position = position;
    this.#revisions.record(id);
    return true;
  }

  /**
   * Checks whether the removal of a server is known and has not taken effect.
   *
   * @param id - the server
   * @returns true while the removal is pending
   */
  isRemovalPending(id: ServerId): boolean {
    return this.#entries.get(id)?.removeAtMs !== undefined;
  }

  /**
   * Lists the servers whose pending removal is due.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns their identifiers
   */
  listDueRemovals(nowMs: number): readonly ServerId[] {
    return [...this.#entries].flatMap(([id, { removeAtMs }]) =>
      removeAtMs !== undefined && removeAtMs <= nowMs ? [id] : []
    );
  }

  /**
   * Applies the server states that another VM has sent.
   *
   * @param changes - states; those that are not newer are ignored
   * @param nowMs - monotonic time, in milliseconds
   * @returns true if the state of any server changed
   */
  applyChanges(changes: readonly ServerChange[], nowMs: number): boolean {
    let isChanged = false;
    for (const change of changes) {
      isChanged = this.#applyChange(change, nowMs) || isChanged;
    }
    return isChanged;
  }

  /**
   * Schedules the removal of every server that a snapshot does not list.
   *
   * @param listed - identifiers of the servers in the snapshot
   * @param end - end of the snapshot
   * @param effectiveAtMs - monotonic time at which the removals take effect
   * @returns the servers whose removal was not known
   */
  removeUnlisted(
    listed: ReadonlySet<string>,
    end: LogPosition,
    effectiveAtMs: number,
  ): readonly ServerId[] {
    // The next record gets the end's offset and has to come after the removal.
    const lastRead = { era: end.era, offset: end.offset - 1 };
    const isNewEra = this.#eraStart?.era !== end.era;
    const removed: ServerId[] = [];
    for (const [id, entry] of this.#entries) {
      // A record behind the end was learned from a VM that has read further.
      if (!listed.has(id) && compareLogPositions(entry.position, end) < 0) {
        if (this.applyRemoval(id, lastRead, effectiveAtMs)) {
          removed.push(id);
        }
        entry.position = lastRead;
        if (isNewEra && entry.removeAtMs !== undefined) {
          // What the server wrote since the last return is lost as well.
          entry.removeAtMs = effectiveAtMs;
        }
      }
    }
    if (isNewEra) {
      this.#eraStart = end;
    }
    this.markRead(end);
    return removed;
  }

  /**
   * Marks all records before a position as applied. The position never goes
   * back within an era.
   *
   * @param nextPosition - position of the next record to read
   */
  markRead(nextPosition: LogPosition | undefined): void {
    this.#nextPosition = pickLaterPosition(this.#nextPosition, nextPosition);
  }

  /**
   * Removes the servers whose pending removal is due, and forgets those that were
   * removed long ago.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns true if any server was removed
   */
  expireRemoved(nowMs: number): boolean {
    let isChanged = false;
    for (const [id, entry] of this.#entries) {
      if (entry.removeAtMs !== undefined && entry.removeAtMs <= nowMs) {
        entry.removeAtMs = undefined;
        entry.isGone = true;
        entry.goneAtMs = nowMs;
        this.#revisions.record(id);
        isChanged = true;
      } else if (nowMs - (entry.goneAtMs ?? nowMs) > REMOVED_KEPT_MS) {
        this.#entries.delete(id);
        this.#revisions.drop(id);
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
    return [...this.#entries.values()].flatMap(({ last, isGone }) =>
      isGone ? [] : [last]
    );
  }

  /**
   * Lists the states that changed after a revision, to be sent to another VM.
   *
   * @param seen - revision that the receiver has; undefined if it is not known
   * @param nowMs - monotonic time, in milliseconds
   * @returns the current state of each server that changed; none if the
   * receiver's revision is not known
   */
  listChangesSince(seen: number | undefined, nowMs: number): ServerChanges {
    if (seen === undefined) {
      return { changes: [], revision: 0, isComplete: false };
    }
    const { keys, revision } = this.#revisions.listSince(seen);
    return {
      changes: keys.flatMap((key) => this.#buildChange(key, nowMs)),
      revision,
      isComplete: true,
    };
  }

  #applyChange(change: ServerChange, nowMs: number): boolean {
    const { server, isGone, position, goneInMs } = change;
    const entry = this.#entries.get(server.id);
    const isPresent = !isGone && goneInMs === undefined;
    if (
      entry === undefined && isPresent && this.#isRemovedBefore(position)
    ) {
      this.#addRemoved(server, nowMs);
      return false;
    }
    if (entry !== undefined && !this.#isNewer(change, entry)) {
      this.#mergeRemoved(change, entry);
      return server.state === SERVER_STATE.leaving &&
        this.markLeaving(server.id, server.startedAtMs);
    }
    this.#entries.set(server.id, {
      last: pickLaterAnnouncement(server, entry?.last),
      isGone,
      position,
      removeAtMs: this.#isOfEarlierEra(position)
        ? entry?.removeAtMs
        : goneInMs === undefined
        ? undefined
        : nowMs + goneInMs,
      goneAtMs: isGone ? nowMs : undefined,
    });
    this.#revisions.record(server.id);
    return true;
  }

  // A removal that was pending when the store returned again is decided anew.
  #isOfEarlierEra({ era }: LogPosition): boolean {
    return this.#eraStart !== undefined && era < this.#eraStart.era;
  }

  #isNewer(change: ServerChange, entry: ServerEntry): boolean {
    const { era, offset } = change.position;
    if (entry.isGone && change.goneInMs !== undefined) {
      return false;
    }
    if (era === entry.position.era) {
      return offset > entry.position.offset ||
        (offset === entry.position.offset && isEndOfDeferral(change, entry));
    }
    if (era > entry.position.era && this.#isSinceSnapshot(change.position)) {
      return true;
    }
    if (
      isBeforeRemoval(change, entry) ||
      (entry.isGone && this.#isSinceSnapshot(entry.position))
    ) {
      return false;
    }
    const order = compareAnnouncements(change.server, entry.last);
    return order > 0 ||
      (order === 0 && computeRemovalRank(change) > computeRemovalRank(entry));
  }

  // A server that is not known here, although all records up to a later one were
  // read or learned, was removed before. The other VM may have skipped the removal
  // with this VM's position.
  #isRemovedBefore({ era, offset }: LogPosition): boolean {
    const next = this.#nextPosition;
    return next?.era === era && offset < next.offset;
  }

  #addRemoved(server: AnnouncedServer, nowMs: number): void {
    const { era, offset } = this.#nextPosition ?? NO_POSITION;
    this.#entries.set(server.id, {
      last: server,
      isGone: true,
      position: { era, offset: offset - 1 },
      removeAtMs: undefined,
      goneAtMs: nowMs,
    });
    this.#revisions.record(server.id);
  }

  // The last announcement before the removal tells later which ones are older.
  #mergeRemoved(change: ServerChange, entry: ServerEntry): void {
    const isLater = compareAnnouncements(change.server, entry.last) > 0;
    if (change.isGone && entry.isGone && isLater) {
      entry.last = change.server;
      this.#revisions.record(entry.last.id);
    }
  }

  // What the log says after the snapshot was written when the store had returned.
  #isSinceSnapshot({ era, offset }: LogPosition): boolean {
    return this.#eraStart?.era === era && offset >= this.#eraStart.offset - 1;
  }

  #buildChange(key: string, nowMs: number): readonly ServerChange[] {
    const entry = this.#entries.get(key as ServerId);
    if (entry === undefined) {
      return [];
    }
    const { last, isGone, position, removeAtMs } = entry;
    const change = { server: last, isGone, position };
    return [
      removeAtMs === undefined
        ? change
        : { ...change, goneInMs: Math.max(0, removeAtMs - nowMs) },
    ];
  }
}
