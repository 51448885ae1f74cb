// Guards against half an answer that is delivered as whole: an answer without a
// length whose connection is reset while this process is busy.

import * as net from "node:net";

import { SystemClock } from "../vm/system_clock.ts";
import {
  type AttemptFailure,
  AttemptListener,
  BackendAttempt,
} from "./backend_attempt.ts";
import { BackendConnectionPool } from "./backend_connection_pool.ts";

const HEAD = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";

type AttemptEnd =
  | { readonly kind: "complete"; readonly body: string }
  | { readonly kind: "failed"; readonly outcome: AttemptFailure["outcome"] };

class EndListener extends AttemptListener {
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

async function sendTo(
  answer: (socket: net.Socket) => void,
): Promise<AttemptEnd> {
  const server = net.createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      answer(socket);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const clock = new SystemClock();
  const pool = new BackendConnectionPool(clock);
  const listener = new EndListener();
  const attempt = new BackendAttempt(
    {
      method: "GET",
      target: "/",
      headers: [],
      body: undefined,
      isResponseToAttempt: () => true,
      mayEndWithConnection: true,
      mayDispatch: undefined,
    },
    pool.acquire({ host: "127.0.0.1", port }),
    { clock, listener },
  );
  attempt.start();
  const end = await listener.ended;
  await pool.close();
  await new Promise((resolve) => server.close(resolve));
  return end;
}

describe("BackendAttempt with an answer without a length", () => {
  it("fails if the connection is reset right after a part of the body", async () => {
    // Both are pending when this process next polls the connection.
    const end = await sendTo((socket) => {
      socket.write(`${HEAD}half`);
      socket.resetAndDestroy();
    });
    expect(end).toEqual({ kind: "failed", outcome: "cut" });
  });

  it("fails if the connection is reset later", async () => {
    const end = await sendTo((socket) => {
      socket.write(`${HEAD}half`);
      setTimeout(() => {
        socket.resetAndDestroy();
      }, 30);
    });
    expect(end).toEqual({ kind: "failed", outcome: "cut" });
  });

  it.each([0, 30])(
    "is complete if the connection ends in order after %i ms",
    async (delayMs) => {
      const end = await sendTo((socket) => {
        socket.write(`${HEAD}whole`);
        setTimeout(() => {
          socket.end();
        }, delayMs);
      });
      expect(end).toEqual({ kind: "complete", body: "whole" });
    },
  );

  it("is complete if the server closes at once", async () => {
    const end = await sendTo((socket) => {
      socket.end(`${HEAD}whole`);
    });
    expect(end).toEqual({ kind: "complete", body: "whole" });
  });
});
