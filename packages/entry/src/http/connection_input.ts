/** What one connection brings to an HTTP server, handed to the parser in parts. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

import type { Clock } from "@limpetford/core/time/clock";

import type { MemoryBudget } from "../serving/memory_budget.ts";
import type { ParseTurns } from "../serving/parse_turns.ts";
import { measurePart, type PartLimits } from "../serving/parser_part.ts";
import { LINGER_MS } from "./close_behind_body.ts";
import type { DiscardTurns } from "./discard_turns.ts";

/**
 * What is parsed at once. It ends behind a head, so that it begins one request at
 * most; of chunks of a byte it holds 32.
 */
const PART_LIMITS: PartLimits = {
  bytes: 16_384,
  lines: 64,
  endsAtEmptyLine: true,
};
/** Parts of one message after which it counts as long. */
const LONG_MESSAGE_PARTS = 8;
/** Bytes that wait for the parser, beyond which the connection is not read. */
const MAX_WAITING_BYTES = 16_384;
/** Bytes that Node still reads of a connection that was paused. */
const READ_BYTES = 65_536;

/** Dependencies of a {@link ConnectionInput}. */
export interface ConnectionInputOptions {
  readonly clock: Clock;
  /** Shares the parser with other connections. */
  readonly turns: ParseTurns;
  /** Shares the reads of what comes behind last responses. */
  readonly discards: DiscardTurns;
  /** Memory for requests that were sent ahead, of all connections. */
  readonly aheadMemory: MemoryBudget;
  /** Called before a connection is closed for want of that memory. */
  readonly handleExcess: () => void;
}

type Deliver = (bytes: Buffer) => void;

/**
 * Reads of one connection, up to the parser of Node's HTTP server. Node would make all
 * requests of a read at once, however many, and keep their responses until the first
 * one is taken: a request that was sent ahead is parsed when the one before it has been
 * answered, and the connection is read only a little further until then. What comes
 * behind the last response is discarded.
 */
export class ConnectionInput {
  readonly #socket: Socket;
  readonly #options: ConnectionInputOptions;
  readonly #deliver: Deliver;
  /** Bytes that wait for the parser, in their order. */
  #waiting: Buffer[] = [];
  #waitingBytes = 0;
  /** Bytes among them that count as sent ahead. */
  #aheadBytes = 0;
  #waitingSinceMs: number | undefined;
  #lastRequest: IncomingMessage | undefined;
  #openCount = 0;
  #partsOfMessage = 0;
  #isPausedByNode = false;
  #isPausedHere = false;
  #lingerTimer: NodeJS.Timeout | undefined;

  /**
   * Takes over the reads of a connection.
   *
   * @param socket - connection that Node's HTTP server has accepted
   * @param deliver - hands bytes to the parser of Node's HTTP server
   * @param options - clock and what is shared with other connections
   */
  constructor(
    socket: Socket,
    deliver: Deliver,
    options: ConnectionInputOptions,
  ) {
    this.#socket = socket;
    this.#deliver = deliver;
    this.#options = options;
    socket.on("data", (bytes: Buffer) => {
      this.#receive(bytes);
    });
    socket.on("resume", () => {
      this.#isPausedByNode = false;
      this.#isPausedHere = false;
      this.#offerWaiting();
    });
    socket.once("close", () => {
      clearTimeout(this.#lingerTimer);
      this.#clearWaiting();
    });
  }

  /**
   * Number of requests whose responses have not been sent whole.
   *
   * @returns number of requests, 2 at most
   */
  get openCount(): number {
    return this.#openCount;
  }

  /**
   * Whether bytes were read that have not been parsed.
   *
   * @returns true if a request may follow those that were parsed
   */
  get hasWaiting(): boolean {
    return this.#waiting.length > 0;
  }

  /**
   * Time for which what is parsed now has waited here.
   *
   * @returns milliseconds; 0 if it was parsed when it was read
   */
  get waitedMs(): number {
    const nowMs = this.#options.clock.readMonotonicMs();
    return nowMs - (this.#waitingSinceMs ?? nowMs);
  }

  /**
   * Observes a request whose head was parsed.
   *
   * @param request - request of Node's HTTP server
   * @param response - response to it
   */
  observeRequest(request: IncomingMessage, response: ServerResponse): void {
    this.#lastRequest = request;
    this.#openCount += 1;
    this.#partsOfMessage = 0;
    response.once("close", () => {
      this.#openCount -= 1;
      this.#offerWaiting();
    });
  }

  #receive(bytes: Buffer): void {
    this.#waiting.push(bytes);
    this.#waitingBytes += bytes.length;
    this.#parseWaiting();
  }

  #parseWaiting(): void {
    for (;;) {
      const [first] = this.#waiting;
      if (first === undefined || this.#socket.destroyed) {
        this.#clearWaiting();
        return;
      }
      if (this.#socket.writableEnded) {
        this.#dropWaiting();
        return;
      }
      if (!this.#mayParse()) {
        this.#keepWaiting();
        return;
      }
      this.#parsePart(first);
    }
  }

  #parsePart(first: Buffer): void {
    const { length } = measurePart(first, PART_LIMITS);
    const isWhole = length === first.length;
    if (isWhole) {
      this.#waiting.shift();
    } else {
      this.#waiting[0] = first.subarray(length);
    }
    this.#waitingBytes -= length;
    this.#partsOfMessage += 1;
    this.#deliver(isWhole ? first : first.subarray(0, length));
    this.#isPausedByNode ||= this.#socket.isPaused();
  }

  // Nothing that comes behind the last response can be answered.
  #dropWaiting(): void {
    this.#clearWaiting();
    this.#isPausedHere = true;
    this.#socket.pause();
    this.#options.discards.wait(this, () => {
      this.#socket.resume();
    });
    this.#lingerTimer ??= setTimeout(() => {
      this.#socket.destroy();
    }, LINGER_MS);
  }

  #clearWaiting(): void {
    this.#waiting = [];
    this.#waitingBytes = 0;
    this.#waitingSinceMs = undefined;
    this.#setAheadBytes(0);
  }

  #mayParse(): boolean {
    if (this.#isPausedByNode || this.#isAnswerAwaited()) {
      return false;
    }
    return this.#options.turns.take(
      this,
      this.#offerWaiting,
      this.#partsOfMessage > LONG_MESSAGE_PARTS,
    );
  }

  // True if what comes next was sent ahead.
  #isAnswerAwaited(): boolean {
    return this.#openCount > 0 && this.#lastRequest?.complete === true;
  }

  #keepWaiting(): void {
    this.#waitingSinceMs ??= this.#options.clock.readMonotonicMs();
    if (this.#waitingBytes > MAX_WAITING_BYTES && !this.#socket.isPaused()) {
      this.#isPausedHere = true;
      this.#socket.pause();
    }
    const readBytes = this.#isPausedHere ? READ_BYTES : 0;
    this.#setAheadBytes(
      this.#isAnswerAwaited() ? this.#waitingBytes + readBytes : 0,
    );
  }

  readonly #offerWaiting = (): void => {
    if (!this.#isPausedHere) {
      this.#parseWaiting();
    } else if (!this.#isAnswerAwaited()) {
      // Goes on once the connection is read again.
      this.#socket.resume();
    }
  };

  // A connection whose requests no longer fit is closed: it can be asked for no less.
  #setAheadBytes(bytes: number): void {
    const { aheadMemory, handleExcess } = this.#options;
    if (bytes === this.#aheadBytes) {
      return;
    }
    aheadMemory.release(this.#aheadBytes);
    this.#aheadBytes = bytes;
    if (!aheadMemory.reserve(bytes)) {
      this.#aheadBytes = 0;
      handleExcess();
      this.#socket.destroy();
    }
  }
}
