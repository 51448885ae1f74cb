// Guards against a step of an attempt that ends the VM when it throws, or breaks its
// connection in the HTTP client's parser without a line.

import type * as net from "node:net";

import { errors } from "undici";

import {
  type Answer,
  type AttemptEnd,
  EndListener,
  type ExchangeOptions,
  sendInTurn,
  sendTo,
} from "../fakes/backend_exchange.ts";
import { CollectedExceptions } from "../fakes/collected_exceptions.ts";
import { SystemClock } from "../vm/system_clock.ts";
import { BackendConnection } from "./backend_connection.ts";
import { BackendConnectionPool } from "./backend_connection_pool.ts";
import { UnsizedBody } from "./unsized_body.ts";

const WHOLE = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
const UNSIZED = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
/** Longer than the body runs before a second connection is made. */
const LONG_BODY_MS = 300;

function runFault(): never {
  throw new Error("fault of a step");
}

function sendWhole(socket: net.Socket): void {
  socket.write(WHOLE);
}

function sendUnsized(socket: net.Socket): void {
  socket.end(`${UNSIZED}whole`);
}

class ThrowingListener extends EndListener {
  override receiveChunk(): never {
    return runFault();
  }
}

interface FaultCase {
  readonly name: string;
  readonly answer: Answer;
  readonly end: AttemptEnd;
  readonly prepare: () => ExchangeOptions;
}

describe("an exception of a step of an attempt", () => {
  let exceptions: CollectedExceptions;
  beforeEach(() => {
    exceptions = new CollectedExceptions();
  });
  afterEach(() => {
    jest.restoreAllMocks();
  });

  const reset = { kind: "failed", outcome: "reset-before-first-byte" } as const;
  const cut = { kind: "failed", outcome: "cut" } as const;

  it.each<FaultCase>([
    {
      name: "the head of the response",
      answer: sendWhole,
      end: reset,
      prepare: () => ({ request: { isProven: runFault } }),
    },
    {
      name: "a chunk",
      answer: (socket) => {
        socket.write("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart");
      },
      end: cut,
      prepare: () => ({ buildListener: () => new ThrowingListener() }),
    },
    {
      name: "bytes that arrive",
      answer: sendWhole,
      end: reset,
      prepare: () => {
        jest.spyOn(BackendConnection.prototype, "bytesRead", "get")
          .mockReturnValueOnce(0)
          .mockImplementationOnce(runFault);
        return {};
      },
    },
    {
      name: "the end of the response",
      answer: sendWhole,
      end: cut,
      prepare: () => {
        jest.spyOn(BackendConnection.prototype, "hasUnsolicitedBytes")
          .mockImplementationOnce(runFault);
        return {};
      },
    },
    {
      name: "the end of a body without a length",
      answer: sendUnsized,
      end: cut,
      prepare: () => {
        jest.spyOn(UnsizedBody.prototype, "observeEnd")
          .mockImplementationOnce(runFault);
        return {};
      },
    },
    {
      name: "the check that the server runs on",
      answer: sendUnsized,
      end: cut,
      prepare: () => ({
        verifyServer: () => Promise.reject(new Error("fault of a check")),
      }),
    },
  ])("fails it, with one line: $name", async ({ answer, end, prepare }) => {
    const options = { ...prepare(), exceptions };
    await expect(sendTo(answer, options)).resolves.toEqual(end);
    expect(exceptions.sources).toEqual(["server"]);
  }, 2_000);

  // `sendTo` expects that the server has received a request.
  it("sends nothing if it is thrown before the first byte", async () => {
    const sent = sendTo(sendWhole, {
      request: { mayDispatch: runFault },
      exceptions,
    });
    await expect(sent).rejects.toThrow("toBe");
    expect(exceptions.sources).toEqual(["server"]);
  }, 2_000);

  it("delivers a response whose connection can't be kept", async () => {
    jest.spyOn(BackendConnection.prototype, "release")
      .mockImplementationOnce(runFault);
    const { ends } = await sendInTurn([sendWhole, sendWhole], { exceptions });
    expect(ends).toEqual([1, 2].map(() => ({
      kind: "complete",
      body: "whole",
    })));
    expect(exceptions.sources).toEqual(["server"]);
  }, 2_000);

  it("does without a second connection", async () => {
    const end = await sendTo((socket) => {
      socket.write(`${UNSIZED}half`);
      setTimeout(() => socket.end("whole"), LONG_BODY_MS);
    }, {
      exceptions,
      buildListener: (connection) => {
        Object.defineProperty(connection, "target", { get: runFault });
        return new EndListener();
      },
      verifyServer: () => Promise.resolve(true),
    });
    expect(end?.kind).toBe("complete");
    expect(exceptions.sources).toEqual(["server"]);
  });
});

describe("an exception at the end of an idle connection", () => {
  it("ends only that notice", async () => {
    const exceptions = new CollectedExceptions();
    const pool = new BackendConnectionPool(new SystemClock(), {
      handleIdleLost: runFault,
      exceptions,
    });
    const connection = pool.acquire({ host: "127.0.0.1", port: 9 }, "1");
    connection.release("r", 0);
    connection.client.emit(
      "disconnect",
      new URL("http://s"),
      [],
      new errors.SocketError("closed"),
    );
    expect(exceptions.sources).toEqual(["server"]);
    expect(pool.openCount).toBe(0);
    await pool.close();
  });
});
