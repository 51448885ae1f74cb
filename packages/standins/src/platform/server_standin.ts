/** A backend server that speaks the platform's protocol. */

import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";

import type { SocketAddress } from "@limpetford/domain/vm";
import { resetSocket } from "@limpetford/entry/http/reset_socket";

const STATUS_OK = 200;
const STATUS_MISDIRECTED = 421;
const STATUS_ERROR = 500;
const STATUS_UNAVAILABLE = 503;

/** How the stand-in answers. */
export const SERVER_BEHAVIOR = {
  answer: "answer",
  /** Runs the request and answers 500. */
  fail: "fail",
  /** Answers that it did not run the request. */
  shed: "shed",
  /** Runs the request and never answers. */
  hang: "hang",
  /** Runs the request and resets the connection. */
  reset: "reset",
  /** Sends half of its answer and resets the connection. */
  cut: "cut",
  /** Sends an answer without a length and closes the connection. */
  unframed: "unframed",
  /** Sends half of an answer without a length and resets the connection. */
  unframedCut: "unframed-cut",
  /** Answers with the identifier of another request. */
  crossed: "crossed",
} as const;
/** How the stand-in answers. */
export type ServerBehavior =
  typeof SERVER_BEHAVIOR[keyof typeof SERVER_BEHAVIOR];

/** A request as the stand-in received it. */
export interface ServedRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  readonly hasRun: boolean;
}

/** Runs requests, counts them, and misbehaves on demand. */
export class ServerStandin {
  readonly id: string;
  readonly served: ServedRequest[] = [];
  behavior: ServerBehavior = SERVER_BEHAVIOR.answer;
  /** How long a request runs, in milliseconds. */
  workMs = 0;
  readonly #sockets = new Set<Socket>();
  readonly #server = http.createServer((request, response) => {
    void this.#handleCall(request, response);
  });
  #address: SocketAddress | undefined;

  /**
   * Prepares a server.
   *
   * @param id - its identifier
   */
  constructor(id: string) {
    this.id = id;
  }

  /**
   * Where the server listens.
   *
   * @returns the current value
   */
  get address(): SocketAddress {
    if (this.#address === undefined) {
      throw new Error("the stand-in has not been started");
    }
    return this.#address;
  }

  /**
   * Counts the requests that ran.
   *
   * @returns the number
   */
  countRuns(): number {
    return this.served.filter(({ hasRun }) => hasRun).length;
  }

  /** Starts to listen. */
  async start(): Promise<void> {
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = this.#server.address() as AddressInfo;
    this.#address = { host: "127.0.0.1", port };
  }

  /** Stops listening and cuts all connections. */
  async stop(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    await closed;
  }

  async #handleCall(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
    const expected = request.headers["expected-instance"];
    const isOther = expected !== undefined && expected !== this.id;
    const { behavior } = this;
    this.served.push({
      method: request.method ?? "",
      target: request.url ?? "",
      headers: request.headers,
      body: Buffer.concat(chunks).toString("utf8"),
      hasRun: !isOther && behavior !== SERVER_BEHAVIOR.shed,
    });
    if (isOther) {
      response.writeHead(STATUS_MISDIRECTED, { "instance-id": this.id });
      response.end();
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, this.workMs));
    this.#write(behavior, request, response);
  }

  #write(
    behavior: ServerBehavior,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const head = {
      "request-id": String(request.headers["request-id"]),
      "server-signature": `signed-by-${this.id}`,
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
      case "shed":
        response.writeHead(STATUS_UNAVAILABLE, { "not-executed": "1" });
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
