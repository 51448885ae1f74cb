/** Order of the announcements of one backend server. */

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import { SERVER_STATE } from "@limpetford/domain/service";

/**
 * Chooses the later of two announcements of a server.
 *
 * @param server - announcement
 * @param last - announcement known before; undefined if there is none
 * @returns the later one; it is leaving if either of the same start is
 */
export function pickLaterAnnouncement(
  server: AnnouncedServer,
  last: AnnouncedServer | undefined,
): AnnouncedServer {
  return last !== undefined && compareAnnouncements(server, last) < 0
    ? keepLeavingState(last, server)
    : keepLeavingState(server, last);
}

/**
 * Orders announcements of one server by its start and its sequence number.
 *
 * @param a - announcement of a server
 * @param b - announcement of the same server
 * @returns below 0 if `a` is earlier, above 0 if `b` is, 0 if they are the same
 */
export function compareAnnouncements(
  a: AnnouncedServer,
  b: AnnouncedServer,
): number {
  return a.startedAtMs - b.startedAtMs || a.sequence - b.sequence;
}

/**
 * Keeps a server leaving that has said so, until it starts again.
 *
 * @param server - announcement
 * @param last - announcement known before; undefined if there is none
 * @returns the announcement, with its state
 */
export function keepLeavingState(
  server: AnnouncedServer,
  last: AnnouncedServer | undefined,
): AnnouncedServer {
  const hasLeft = last?.state === SERVER_STATE.leaving &&
    last.startedAtMs === server.startedAtMs;
  return hasLeft ? { ...server, state: SERVER_STATE.leaving } : server;
}

/**
 * Checks whether two announcements of a server are the same but for their
 * sequence numbers.
 *
 * @param a - announcement of a server
 * @param b - announcement of the same server
 * @returns false if anything else has changed
 */
export function isSameServer(a: AnnouncedServer, b: AnnouncedServer): boolean {
  return a.service === b.service && a.state === b.state &&
    a.zone === b.zone && a.slots === b.slots &&
    a.startedAtMs === b.startedAtMs &&
    a.address.host === b.address.host && a.address.port === b.address.port;
}
