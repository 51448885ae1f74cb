/** Backend server that speaks the platform's protocol and injects failures. */

import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";

import type { SocketAddress } from "@limpetford/domain/vm";
import { resetSocket } from "@limpetford/entry/http/reset_socket";
import { generateLoopbackHost } from "@limpetford/peer/fakes/loopback_host";

import { PROTOCOL_HEADER } from "./protocol_names.ts";
import { type RawResponse, writeRawResponse } from "./raw_response.ts";
import {
  REPEATED_REFUSAL,
  type RepeatedRefusal,
  SentRefusals,
} from "./repeated_refusal.ts";

const STATUS_OK = 200;
const STATUS_MISDIRECTED = 421;
const STATUS_ERROR = 500;
const STATUS_UNAVAILABLE = 503;
const MISDIRECTED_LINE = "421 Misdirected Request";
const UNAVAILABLE_LINE = "503 Service Unavailable";

/** Ways in which the stand-in handles a request. */
export const SERVER_BEHAVIOR = {
  /** Runs the request and answers 200. */
  answer: "answer",
  /** Runs the request and answers 500. */
  fail: "fail",
  /** Sheds load: answers 503 and states that the request was not run. */
  shed: "shed",
  /** Runs the request and answers 503, without a statement that it was not run. */
  failAsShed: "fail-as-shed",
  /** Runs the request and never answers. */
  hang: "hang",
  /** Runs the request and resets the connection. */
  reset: "reset",
  /** Runs the request, sends half the response and resets the connection. */
  cut: "cut",
  /** Sends a response without a length and closes the connection. */
  unframed: "unframed",
  /** Sends half a response without a length and resets the connection. */
  unframedCut: "unframed-cut",
  /** Answers with the request identifier of another request. */
  crossed: "crossed",
} as const;
/** One of the behaviors in `SERVER_BEHAVIOR`. */
export type ServerBehavior =
  typeof SERVER_BEHAVIOR[keyof typeof SERVER_BEHAVIOR];

/** A request that the stand-in received, whether or not it ran. */
export interface ReceivedRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** False if the request was shed or addressed to another server. */
  readonly hasRun: boolean;
  /** Wall-clock time at which it was read to its end, in milliseconds. */
  readonly receivedAtMs: number;
}

/** Requests that crash the server, and how long a crash lasts. */
export interface CrashBehavior {
  /** Checks whether a request that begins to run crashes the server. */
  readonly isCrashing: (request: ReceivedRequest) => boolean;
  /** Time from the start of the run to the crash, in milliseconds. */
  readonly delayMs: number;
  /** Time from the crash until the server listens again, in milliseconds. */
  readonly downMs: number;
}

interface ChosenResponse {
  readonly behavior: ServerBehavior;
  /** Retry-After of a response that turns the request away. */
  readonly retryAfter: string | undefined;
}

/** Records received requests and responds as its current behavior says. */
export class ServerStandin {
  readonly id: string;
  readonly received: ReceivedRequest[] = [];
  behavior: ServerBehavior = SERVER_BEHAVIOR.answer;
  /** Processing time of each request, in milliseconds. */
  processingMs = 0;
  /** Requests that crash the server; undefined if none does. */
  crashBehavior: CrashBehavior | undefined;
  /**
   * Chooses the rate limit that a response names; undefined to name none.
   */
  chooseNamedLimit: (() => string | undefined) | undefined;
  /** True if each response says that the server is leaving. */
  isSayingLeaving = false;
  /**
   * Chooses the Retry-After of a response that turns the request away; undefined
   * to run the request.
   */
  chooseRetryAfter: ((target: string) => string | undefined) | undefined;
  /**
   * Form in which the last refusal of a connection is written once more as the
   * next request on it begins to run.
   */
  repeatedRefusal: RepeatedRefusal = REPEATED_REFUSAL.none;
  /** Chooses bytes to write in place of a response; undefined to respond. */
  chooseRawResponse:
    | ((received: ReceivedRequest) => RawResponse | undefined)
    | undefined;
  /** Called when the server goes down in a crash and when it is back. */
  outageListener: ((isDown: boolean) => void) | undefined;
  /** Wall-clock times of the crashes so far, in milliseconds. */
  readonly crashedAtMs: number[] = [];
  readonly #sockets = new Set<Socket>();
  readonly #refusals = new SentRefusals();
  readonly #server = http.createServer((request, response) => {
    void this.#handleRequest(request, response);
  });
  readonly #host = generateLoopbackHost();
  #address: SocketAddress | undefined;
  #isDown = false;
  #isStopped = false;

  /**
   * Creates a server that does not listen yet.
   *
   * @param id - identifier that proxies send as `expected-instance`
   */
  constructor(id: string) {
    this.id = id;
  }

  /**
   * Address that the server listens on.
   *
   * @returns host and port
   * @throws Error before `start`
   */
  get address(): SocketAddress {
    if (this.#address === undefined) {
      throw new Error("the backend server stand-in has not been started");
    }
    return this.#address;
  }

  /**
   * Whether the server refuses connections because it has crashed.
   *
   * @returns true from a crash until the server listens again
   */
  get isDown(): boolean {
    return this.#isDown;
  }

  /**
   * Counts the received requests that ran.
   *
   * @returns their number since the start
   */
  countRuns(): number {
    return this.received.filter(({ hasRun }) => hasRun).length;
  }

  /**
   * Starts to listen on a host of its own, where nobody takes the port while it
   * is down.
   */
  async start(): Promise<void> {
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve) => {
      this.#server.listen(0, this.#host, resolve);
    });
    const { port } = this.#server.address() as AddressInfo;
    this.#address = { host: this.#host, port };
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    const closed = new Promise((resolve) => this.#server.close(resolve));
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    await closed;
  }

  /** Ends all connections in order, as the kernel does for a process that ends. */
  closeConnections(): void {
    for (const socket of this.#sockets) {
      socket.end();
    }
  }

  /**
   * Writes bytes to all connections.
   *
   * @param bytes - bytes to write
   */
  writeToAll(bytes: string): void {
    for (const socket of this.#sockets) {
      socket.write(bytes);
    }
  }

  /**
   * Crashes: resets all connections and refuses new ones.
   *
   * @param downMs - time until the server listens again, in milliseconds
   */
  stopAbruptly(downMs: number): void {
    if (this.#isDown || this.#isStopped) {
      return;
    }
    this.#isDown = true;
    this.crashedAtMs.push(Date.now());
    this.#server.close();
    this.outageListener?.(true);
    for (const socket of this.#sockets) {
      resetSocket(socket);
    }
    setTimeout(() => {
      this.#startAgain();
    }, downMs).unref();
  }

  #startAgain(): void {
    this.#isDown = false;
    if (!this.#isStopped) {
      this.#server.listen(this.address.port, this.address.host, () => {
        this.outageListener?.(false);
      });
    }
  }

  async #handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
    const expected = request.headers["expected-instance"];
    const isMisdirected = expected !== undefined && expected !== this.id;
    const retryAfter = isMisdirected
      ? undefined
      : this.chooseRetryAfter?.(request.url ?? "");
    const behavior = retryAfter === undefined
      ? this.behavior
      : SERVER_BEHAVIOR.shed;
    const received = {
      method: request.method ?? "",
      target: request.url ?? "",
      headers: request.headers,
      body: Buffer.concat(chunks).toString("utf8"),
      hasRun: !isMisdirected && behavior !== SERVER_BEHAVIOR.shed,
      receivedAtMs: Date.now(),
    };
    this.received.push(received);
    if (isMisdirected) {
      const id = String(request.headers["request-id"]);
      this.#refusals.record(request.socket, {
        statusLine: MISDIRECTED_LINE,
        id,
      });
      response.writeHead(STATUS_MISDIRECTED, {
        "instance-id": this.id,
        "not-executed": "1",
        "request-id": id,
      });
      response.end();
      return;
    }
    if (received.hasRun && this.crashBehavior?.isCrashing(received) === true) {
      const { delayMs, downMs } = this.crashBehavior;
      await new Promise((resolve) => setTimeout(resolve, delayMs));
      this.stopAbruptly(downMs);
      return;
    }
    const raw = this.chooseRawResponse?.(received);
    if (raw !== undefined) {
      writeRawResponse(request.socket, raw);
      return;
    }
    if (received.hasRun) {
      this.#refusals.writeAgain(request.socket, this.repeatedRefusal);
    }
    await new Promise((resolve) => setTimeout(resolve, this.processingMs));
    this.#writeResponse({ behavior, retryAfter }, request, response);
    request.socket.uncork();
  }

  #writeResponse(
    { behavior, retryAfter }: ChosenResponse,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const namedLimit = this.chooseNamedLimit?.();
    const stateHeaders = {
      ...namedLimit === undefined
        ? {}
        : { [PROTOCOL_HEADER.serverLimit]: namedLimit },
      ...this.isSayingLeaving ? { [PROTOCOL_HEADER.serverLeaving]: "1" } : {},
      ...retryAfter === undefined ? {} : { "retry-after": retryAfter },
    };
    const head = {
      "request-id": String(request.headers["request-id"]),
      "server-signature": `signed-by-${this.id}`,
      ...stateHeaders,
    };
    const body = `answer of ${this.id}`;
    switch (behavior) {
      case "answer":
        response.writeHead(STATUS_OK, head);
        response.end(body);
        break;
      case "fail":
        response.writeHead(STATUS_ERROR, head);
        response.end("failed");
        break;
      case "fail-as-shed":
        response.writeHead(STATUS_UNAVAILABLE, head);
        response.end("failed");
        break;
      case "shed":
        this.#refusals.record(request.socket, {
          statusLine: UNAVAILABLE_LINE,
          id: head["request-id"],
        });
        response.writeHead(STATUS_UNAVAILABLE, {
          "not-executed": "1",
          ...this.repeatedRefusal === REPEATED_REFUSAL.anonymous
            ? {}
            : { "request-id": head["request-id"] },
          ...stateHeaders,
        });
        response.end();
        break;
      case "hang":
        break;
      case "reset":
        resetSocket(request.socket);
        break;
      case "cut":
        response.writeHead(STATUS_OK, {
          ...head,
          "content-length": body.length,
        });
        response.write(body.slice(0, body.length / 2));
        setTimeout(() => {
          resetSocket(request.socket);
        }, 20);
        break;
      case "unframed":
        request.socket.end(
          "HTTP/1.1 200 OK\r\nconnection: close\r\n" +
            Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`)
              .join("") +
            `\r\n${body}`,
        );
        break;
      case "unframed-cut":
        request.socket.write(
          "HTTP/1.1 200 OK\r\nconnection: close\r\n" +
            Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`)
              .join("") +
            `\r\n${body.slice(0, body.length / 2)}`,
        );
        setTimeout(() => {
          resetSocket(request.socket);
        }, 20);
        break;
      case "crossed":
        response.writeHead(STATUS_OK, { ...head, "request-id": "another" });
        response.end(body);
        break;
    }
  }
}
