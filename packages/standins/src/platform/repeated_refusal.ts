/** Refusals that a backend server stand-in writes once more. */

import type { Socket } from "node:net";

/** Forms in which the stand-in writes an earlier refusal once more. */
export const REPEATED_REFUSAL = {
  none: "none",
  /** As it was sent, with the identifier of the earlier request. */
  identified: "identified",
  /** As `identified`, in one packet with the response to the next request. */
  joined: "joined",
  /** As `joined`, but it breaks off within its status line. */
  broken: "broken",
  /** Without the identifier of any request. */
  anonymous: "anonymous",
  /** The refusal has the identifier of its request, the copy has none. */
  stripped: "stripped",
} as const;
/** One of the forms in `REPEATED_REFUSAL`. */
export type RepeatedRefusal =
  typeof REPEATED_REFUSAL[keyof typeof REPEATED_REFUSAL];

/** A refusal as it was sent. */
export interface SentRefusal {
  /** Status code and reason phrase. */
  readonly statusLine: string;
  /** Identifier of the refused request. */
  readonly id: string;
}

/** Remembers the last refusal of each connection. */
export class SentRefusals {
  readonly #bySocket = new WeakMap<Socket, SentRefusal>();

  /**
   * Records a refusal.
   *
   * @param socket - connection on which it is sent
   * @param refusal - status and request
   */
  record(socket: Socket, refusal: SentRefusal): void {
    this.#bySocket.set(socket, refusal);
  }

  /**
   * Writes the last refusal of a connection once more, if there is one.
   *
   * @param socket - the connection; it stays corked for `joined` and `broken`
   * @param form - form of the copy
   */
  writeAgain(socket: Socket, form: RepeatedRefusal): void {
    const refusal = this.#bySocket.get(socket);
    if (refusal === undefined || form === REPEATED_REFUSAL.none) {
      return;
    }
    if (form === REPEATED_REFUSAL.broken) {
      socket.cork();
      socket.write(`HTTP/1.1 ${refusal.statusLine.slice(0, -1)}`);
      return;
    }
    const hasId = form === REPEATED_REFUSAL.identified ||
      form === REPEATED_REFUSAL.joined;
    const idLine = hasId ? `request-id: ${refusal.id}\r\n` : "";
    if (form === REPEATED_REFUSAL.joined) {
      socket.cork();
    }
    socket.write(
      `HTTP/1.1 ${refusal.statusLine}\r\nnot-executed: 1\r\n` +
        `${idLine}content-length: 0\r\n\r\n`,
    );
  }
}
