/** State of one announced backend server, and the order of such states. */

import type { AnnouncedServer } from "@limpetford/domain/announced_server";

import type { LogPosition } from "./log_position.ts";
import type { ServerChange } from "./server_changes.ts";

/** Last known state of a backend server. */
export interface ServerEntry {
  /** Last announcement; kept after removal to detect outdated ones. */
  last: AnnouncedServer;
  isGone: boolean;
  position: LogPosition;
  /** Monotonic time of a pending removal; undefined if none is pending. */
  removeAtMs: number | undefined;
  /** Monotonic time at which it was removed; undefined before. */
  goneAtMs: number | undefined;
}

/**
 * Ranks states that follow the same announcement: a removal is the later one.
 *
 * @param state - whether the server is gone, or its removal pending
 * @returns 0 without a removal, 1 if it is pending, 2 if the server is gone
 */
export function computeRemovalRank(
  state: Pick<ServerChange, "isGone" | "goneInMs"> & {
    readonly removeAtMs?: number | undefined;
  },
): number {
  if (state.isGone) {
    return 2;
  }
  return state.goneInMs === undefined && state.removeAtMs === undefined ? 0 : 1;
}

/**
 * Checks whether a state is older than a removal of an earlier era. A copy of the
 * store is the beginning of the log before it returned, so a state that it shows
 * at a lower offset than a removal is older, unless the server has started again.
 *
 * @param state - announcement of a server, and its position
 * @param entry - what is known of the server
 * @returns true if the server was removed after the state
 */
export function isBeforeRemoval(
  { server, position }: Pick<ServerChange, "server" | "position">,
  entry: ServerEntry,
): boolean {
  return entry.isGone && position.era > entry.position.era &&
    position.offset <= entry.position.offset &&
    server.startedAtMs === entry.last.startedAtMs;
}

/**
 * Checks whether a state ends the deferral of a removal: the sender knows that the
 * server is not merely late to announce itself.
 *
 * @param state - state that another VM has sent
 * @param entry - what is known of the server
 * @returns true if the server is gone there, and its removal pending here
 */
export function isEndOfDeferral(
  { isGone }: Pick<ServerChange, "isGone">,
  { removeAtMs }: Pick<ServerEntry, "removeAtMs">,
): boolean {
  return isGone && removeAtMs !== undefined;
}
