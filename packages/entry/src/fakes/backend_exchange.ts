/** Sends requests over real connections to a server that a test scripts. */

import * as net from "node:net";

import {
  type AttemptFailure,
  AttemptListener,
} from "../serving/attempt_listener.ts";
import type {
  AttemptRequest,
  ResponseIdentity,
} from "../serving/attempt_message.ts";
import { BackendAttempt } from "../serving/backend_attempt.ts";
import type { BackendConnection } from "../serving/backend_connection.ts";
import { BackendConnectionPool } from "../serving/backend_connection_pool.ts";
import type { ContainedExceptions } from "../telemetry/contained_exceptions.ts";
import { SystemClock } from "../vm/system_clock.ts";

/** How an attempt ended. */
export type AttemptEnd =
  | { readonly kind: "complete"; readonly body: string }
  | { readonly kind: "failed"; readonly outcome: AttemptFailure["outcome"] };

/** Answers a request on the connection on which it came. */
export type Answer = (socket: net.Socket) => void;

/** Collects a response and never pauses it. */
export class EndListener extends AttemptListener {
  /** How the attempt has ended. */
  readonly ended: Promise<AttemptEnd>;
  #resolve: (end: AttemptEnd) => void = () => undefined;
  #body = "";

  constructor() {
    super();
    this.ended = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  override receiveHead(): void {
    return;
  }

  override receiveChunk(_attempt: BackendAttempt, chunk: Buffer): boolean {
    this.#body += chunk.toString("utf8");
    return true;
  }

  override receiveEnd(_attempt: BackendAttempt, last?: Buffer): void {
    const body = this.#body + (last?.toString("utf8") ?? "");
    this.#resolve({ kind: "complete", body });
  }

  override receiveFailure(
    _attempt: BackendAttempt,
    { outcome }: AttemptFailure,
  ): void {
    this.#resolve({ kind: "failed", outcome });
  }
}

/** What differs from a caller that takes whatever comes. */
export interface ExchangeOptions {
  /** Builds the listener of one attempt. */
  readonly buildListener?:
    | ((connection: BackendConnection) => EndListener)
    | undefined;
  /** Time after which an attempt is cancelled, in milliseconds; never by default. */
  readonly timeoutMs?: number | undefined;
  /** Finds out whether the server still runs; unknown by default. */
  readonly verifyServer?: () => Promise<boolean>;
  /** Recognizes a refusal; none by default. */
  readonly isRefusal?: NonNullable<ResponseIdentity["isRefusal"]>;
  /** Identifier of all requests; by default each has its own. */
  readonly id?: string;
  /** What differs from a request that is sent as it is. */
  readonly request?: Partial<AttemptRequest>;
  /** Receives what the attempts' steps throw; not reported by default. */
  readonly exceptions?: ContainedExceptions;
}

/** What a series of requests came to. */
export interface ExchangeResult {
  /** One for each answer. */
  readonly ends: readonly AttemptEnd[];
  /** Connections that the server has accepted. */
  readonly connectionCount: number;
  /** Connections that are open after the last answer. */
  readonly openCount: number;
}

/**
 * Sends one request for each answer, the next one after the end of the last.
 *
 * @param answers - answers of the server, in the order of the requests
 * @param options - listener and timeout of the attempts
 * @returns ends of the attempts
 */
export async function sendInTurn(
  answers: readonly Answer[],
  options: ExchangeOptions = {},
): Promise<ExchangeResult> {
  let received = 0;
  let connectionCount = 0;
  const server = net.createServer((socket) => {
    connectionCount += 1;
    socket.on("error", () => undefined);
    socket.on("data", () => {
      answers[received]?.(socket);
      received += 1;
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const pool = new BackendConnectionPool(new SystemClock());
  const ends: AttemptEnd[] = [];
  for (const index of answers.keys()) {
    const id = options.id ?? String(index);
    ends.push(await sendOnce({ pool, port, id }, options));
  }
  const { openCount } = pool;
  await pool.close();
  await new Promise((resolve) => server.close(resolve));
  expect(received).toBe(answers.length);
  return { ends, connectionCount, openCount };
}

/**
 * Sends one request.
 *
 * @param answer - answer of the server
 * @param options - listener and timeout of the attempt
 * @returns end of the attempt
 */
export async function sendTo(
  answer: Answer,
  options: ExchangeOptions = {},
): Promise<AttemptEnd | undefined> {
  const { ends: [end] } = await sendInTurn([answer], options);
  return end;
}

interface ExchangeTarget {
  readonly pool: BackendConnectionPool;
  readonly port: number;
  readonly id: string;
}

async function sendOnce(
  { pool, port, id }: ExchangeTarget,
  options: ExchangeOptions,
): Promise<AttemptEnd> {
  const { buildListener, timeoutMs, verifyServer, exceptions } = options;
  const connection = pool.acquire({ host: "127.0.0.1", port }, id);
  const listener = buildListener?.(connection) ?? new EndListener();
  const attempt = new BackendAttempt(
    {
      method: "GET",
      target: "/",
      headers: [],
      body: undefined,
      identity: {
        id,
        readId: ({ id }) => id?.toString(),
        isAlwaysNamed: false,
        isRefusal: options.isRefusal ?? ((): boolean => false),
      },
      isProven: () => true,
      mayEndWithConnection: true,
      mayDispatch: undefined,
      verifyServer,
      ...options.request,
    },
    connection,
    { clock: new SystemClock(), listener, exceptions },
  );
  const timer = timeoutMs === undefined ? undefined : setTimeout(() => {
    attempt.cancel("timed-out");
  }, timeoutMs);
  attempt.start();
  const end = await listener.ended;
  clearTimeout(timer);
  return end;
}
