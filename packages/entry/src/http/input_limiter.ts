/** Bounds what the connections of HTTP servers cost while they are not answered. */

import type * as http from "node:http";
import * as https from "node:https";
import type { Socket } from "node:net";

import type { Clock } from "@limpetford/core/time/clock";

import { MemoryBudget } from "../serving/memory_budget.ts";
import { ParseTurns } from "../serving/parse_turns.ts";
import type { ServingMetrics } from "../telemetry/serving_metrics.ts";
import { ConnectionInput } from "./connection_input.ts";
import { DiscardTurns } from "./discard_turns.ts";

/** Memory for requests that were sent ahead, of all connections of a process. */
const AHEAD_BYTES = 16_777_216;
/** Counts connections that are closed for what their clients do, by the reason. */
const CLOSED_COUNTER = "closed_connections";

type DataListener = (bytes: Buffer) => void;

/** Inputs of the connections of one server. */
export class ServerInputs {
  readonly #bySocket = new WeakMap<object, ConnectionInput>();

  /**
   * Adds a connection that was accepted.
   *
   * @param socket - the connection
   * @param input - what it brings
   */
  add(socket: Socket, input: ConnectionInput): void {
    this.#bySocket.set(socket, input);
  }

  /**
   * Finds the input of a connection.
   *
   * @param socket - the connection
   * @returns its input; undefined if it does not belong to the server
   */
  find(socket: object): ConnectionInput | undefined {
    return this.#bySocket.get(socket);
  }
}

/** Shares the parser and the memory for input among all HTTP servers of a process. */
export class InputLimiter {
  readonly #clock: Clock;
  readonly #metrics: ServingMetrics | undefined;
  readonly #turns = new ParseTurns();
  readonly #discards = new DiscardTurns();
  readonly #aheadMemory = new MemoryBudget(AHEAD_BYTES);

  /**
   * Begins without servers.
   *
   * @param clock - measures how long input waits
   * @param metrics - counts the connections that are closed; none by default
   */
  constructor(clock: Clock, metrics?: ServingMetrics) {
    this.#clock = clock;
    this.#metrics = metrics;
  }

  /**
   * Bounds the input of all connections that a server accepts from now on. Closes
   * those that take nothing of a response for the time in `server.timeout`.
   *
   * @param server - a server of Node that has not accepted connections
   * @returns the inputs of its connections
   */
  enforce(server: http.Server): ServerInputs {
    const inputs = new ServerInputs();
    server.on("timeout", (socket: Socket) => {
      const isAnswerAwaited = (inputs.find(socket)?.openCount ?? 0) > 0;
      if (isAnswerAwaited && socket.writableLength === 0) {
        socket.setTimeout(server.timeout);
        return;
      }
      if (isAnswerAwaited) {
        this.#metrics?.count(CLOSED_COUNTER, "response-untaken");
      }
      socket.destroy();
    });
    const isTls = server instanceof https.Server;
    server.on(isTls ? "secureConnection" : "connection", (socket: Socket) => {
      this.#takeOver(socket, inputs);
    });
    for (const event of ["request", "checkExpectation"]) {
      server.prependListener(
        event,
        (request: http.IncomingMessage, response: http.ServerResponse) => {
          inputs.find(request.socket)?.observeRequest(request, response);
        },
      );
    }
    return inputs;
  }

  // Node's server has added the listener that feeds its parser.
  #takeOver(socket: Socket, inputs: ServerInputs): void {
    const [listener] = socket.listeners("data") as DataListener[];
    if (listener === undefined) {
      return;
    }
    socket.off("data", listener);
    inputs.add(
      socket,
      new ConnectionInput(socket, (bytes) => {
        listener(bytes);
      }, {
        clock: this.#clock,
        turns: this.#turns,
        discards: this.#discards,
        aheadMemory: this.#aheadMemory,
        handleExcess: () => {
          this.#metrics?.count(CLOSED_COUNTER, "sent-ahead");
        },
      }),
    );
  }
}
