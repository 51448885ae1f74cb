/** A connection to a backend server, with one request at a time. */

import type { Socket } from "node:net";

import type { AttemptConnection } from "@limpetford/core/evidence/attempt_sample";
import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";
import type { Client, Dispatcher } from "undici";

import type { ResponseHead } from "./attempt_listener.ts";
import type { ResponseIdentity } from "./attempt_message.ts";
import {
  type AnsweredRequests,
  ConnectionHistory,
} from "./connection_history.ts";
import type { ParseTurns } from "./parse_turns.ts";
import { ParserInput } from "./parser_input.ts";

/** A response that is read and left, and the one behind it. */
const RECEIVED_AT_ONCE = 2;
/** Message of undici's error for a response to no request. */
const UNSOLICITED_RESPONSE_MESSAGE = "bad response";
/** Prefix of the error codes of undici's HTTP parser. */
const PARSER_CODE_PREFIX = "HPE_";
/** Prefix of the error codes of undici itself. */
const CLIENT_CODE_PREFIX = "UND_ERR_";

/** Use of a connection by one attempt, as it begins. */
export type ConnectionUse = Pick<
  AttemptConnection,
  "number" | "requestsBefore"
>;

/** What a connection asks of its pool. */
export interface ConnectionOwner {
  /** Issues the number of a new connection. */
  readonly issueNumber: () => number;
  /** Takes a connection back that may serve another request. */
  readonly release: (connection: BackendConnection) => void;
  /** Finds out whether an idle connection to the same server is that old. */
  readonly hasIdleSince: (address: string, beforeMs: number) => boolean;
}

/**
 * One connection of the pool. It is destroyed after a request that did not end
 * with a complete response.
 */
export class BackendConnection {
  readonly target: SocketAddress;
  /** The same as `host:port`. */
  readonly address: string;
  readonly client: Client;
  /** Undefined until the connection has been established. */
  socket: Socket | undefined;
  /** Monotonic time at which it was, in milliseconds. */
  connectedAtMs = Infinity;
  /** Called before bytes are parsed. */
  dataListener: (() => void) | undefined;
  readonly #history = new ConnectionHistory();
  /** True if the connection sends no further request. */
  #isReceivingOnly = false;
  #input: ParserInput | undefined;
  #hasNamed = false;
  /** Monotonic time of the last release, in milliseconds. */
  idleSinceMs = 0;
  readonly #number: number;
  readonly #owner: ConnectionOwner;

  /**
   * Prepares a connection, which is opened by its first request.
   *
   * @param target - address of the server
   * @param client - HTTP client that owns the socket
   * @param owner - pool of the connection
   */
  constructor(target: SocketAddress, client: Client, owner: ConnectionOwner) {
    this.target = target;
    this.address = formatAddress(target);
    this.client = client;
    this.#owner = owner;
    this.#number = owner.issueNumber();
  }

  /**
   * Describes the connection to the attempt that is about to use it.
   *
   * @returns number of the connection, and of the requests that it has carried
   */
  describeUse(): ConnectionUse {
    return { number: this.#number, requestsBefore: this.#history.size };
  }

  /**
   * Requests that this connection has completed.
   *
   * @returns their number and identifiers
   */
  get answered(): AnsweredRequests {
    return this.#history;
  }

  /**
   * Whether this connection may carry further requests.
   *
   * @returns false if it could not remember them all
   */
  get mayBeReused(): boolean {
    return !this.#history.isFull;
  }

  /**
   * Bytes received over this connection, whatever they belong to.
   *
   * @returns number of bytes; 0 until it has been established
   */
  get bytesRead(): number {
    return this.socket?.bytesRead ?? 0;
  }

  /**
   * Begins to use the socket that has been established.
   *
   * @param socket - connection to the server
   * @param turns - shares the parser among the connections of the pool
   */
  bindSocket(socket: Socket, turns: ParseTurns): void {
    this.socket = socket;
    const handleNext = (): void => {
      if (this.dataListener !== undefined) {
        this.dataListener();
      } else if (this.hasExcess) {
        socket.destroy(new Error(UNSOLICITED_RESPONSE_MESSAGE));
      }
    };
    this.#input = new ParserInput(socket, { handleNext, turns });
  }

  /**
   * Whether more came without progress than the head of a response can have.
   *
   * @returns true if nothing more is read
   */
  get hasExcess(): boolean {
    return this.#input?.hasExcess === true;
  }

  /** Observes that a request, a response or a part of its body begins. */
  observeProgress(): void {
    this.#input?.observeProgress();
  }

  /**
   * Returns the connection to its pool after a complete response.
   *
   * @param id - identifier of the request that was answered; undefined if responses
   * name none
   * @param nowMs - monotonic time, in milliseconds
   */
  release(id: string | undefined, nowMs: number): void {
    this.resumeReading();
    this.#history.add(id);
    this.idleSinceMs = nowMs;
    this.#owner.release(this);
  }

  /**
   * Checks whether a response may be believed that names no request. A refusal may
   * be a copy of an earlier one that was named.
   *
   * @param identity - identifier that the response should bear
   * @param head - its status and headers
   * @returns false for such a refusal if an earlier response was named
   */
  checkNamed(identity: ResponseIdentity, head: ResponseHead): boolean {
    const isNamed = identity.readId(head.headers) !== undefined;
    this.#hasNamed ||= isNamed;
    return isNamed || !this.#hasNamed || identity.isRefusal?.(head) !== true;
  }

  /**
   * Checks whether the server sent bytes that belong to no request.
   *
   * @returns true if the HTTP client closed the connection for this reason
   */
  hasUnsolicitedBytes(): boolean {
    const error: NodeJS.ErrnoException | null = this.socket?.errored ?? null;
    return error !== null && (error.message === UNSOLICITED_RESPONSE_MESSAGE ||
      error.code?.startsWith(PARSER_CODE_PREFIX) === true);
  }

  /**
   * Checks whether the connection was reset. The HTTP client reports a response
   * without an explicit length as complete even if its connection was reset.
   *
   * @returns true if the connection was not closed in an orderly way
   */
  hasBeenReset(): boolean {
    const error: NodeJS.ErrnoException | null = this.socket?.errored ?? null;
    // The HTTP client also destroys finished connections, with an error of its
    // own.
    return error !== null &&
      error.code?.startsWith(CLIENT_CODE_PREFIX) !== true;
  }

  /**
   * Checks whether the connection still has a peer. After data and a reset that
   * are read together, the event loop reports an orderly end. A connection that
   * the server closed in an orderly way keeps its peer until this side closes it.
   *
   * @returns false if the connection was reset; only meaningful at its end
   */
  hasPeer(): boolean {
    return this.socket?.remoteAddress !== undefined;
  }

  /**
   * Checks whether an idle connection to the same server was made before some
   * moment and has not ended, so that the process that accepted it still runs.
   *
   * @param beforeMs - monotonic time, in milliseconds
   * @returns false if there is none
   */
  hasIdleSiblingSince(beforeMs: number): boolean {
    return this.#owner.hasIdleSince(this.address, beforeMs);
  }

  /**
   * Whether the connection only receives, since `receiveNext` was called.
   *
   * @returns true if it sends no further request
   */
  get isReceivingOnly(): boolean {
    return this.#isReceivingOnly;
  }

  /**
   * Receives one more response behind the one that is being received, also if both
   * came in one packet. The connection sends no request afterwards.
   *
   * @param handler - receives the response; its `onRequestStart` must call
   * `dropWrites`
   * @returns false if the connection is closed
   */
  receiveNext(handler: Dispatcher.DispatchHandler): boolean {
    if (this.socket === undefined || this.socket.destroyed) {
      return false;
    }
    this.#isReceivingOnly = true;
    // The HTTP client has no call that only receives: it takes a response only if
    // a request waits for it.
    this.client.pipelining = RECEIVED_AT_ONCE;
    try {
      this.client.dispatch(
        { method: "GET", path: "/", idempotent: true, blocking: false },
        handler,
      );
      return true;
    } catch {
      return false;
    }
  }

  /**
   * Leaves what arrives in the socket's buffer until `resumeReading`, and the end of
   * the connection behind it. The HTTP client's own pause must not be used: if the
   * connection ends meanwhile, an assertion of its parser fails.
   */
  stopReading(): void {
    this.#input?.stop();
  }

  /** Lets the HTTP client read again what it may not since `stopReading`. */
  resumeReading(): void {
    this.#input?.resume();
  }

  /**
   * Checks whether something is left to the parser, which then tells what it is.
   *
   * @returns false if all that was read has been parsed, or the connection is closed
   */
  hasUnparsedBytes(): boolean {
    return this.socket?.destroyed === false && this.socket.readableLength > 0;
  }

  /** Drops whatever is written to the socket from now on. */
  dropWrites(): void {
    if (this.socket !== undefined) {
      this.socket.write = (): boolean => true;
    }
  }

  /** Destroys the socket and aborts the request that uses it. */
  abort(): void {
    this.client.destroy().catch(() => undefined);
  }
}
