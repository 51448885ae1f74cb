// Guards against a VM that refuses as slowly as it serves: its accept queue grew until
// all were refused, seconds late.
import * as http from "node:http";
import * as net from "node:net";

import { FakeClock } from "@limpetford/core/time/fake_clock";
import { SeededRandomSource } from "@limpetford/core/time/random_source";

import { UNLIMITED_TIMES } from "../serving/arrival.ts";
import { takeConnectionListener } from "./connection_listener.ts";
import { EarlyRefuser } from "./early_refuser.ts";

const WAITED_MS = 600;
const GET = "GET /read/1 HTTP/1.1\r\nhost: bands.example\r\n\r\n";
const POST_HEAD = "POST /book/1 HTTP/1.1\r\nhost: bands.example\r\n" +
  "content-length: 6\r\n\r\n";
const REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n" +
  "content-length: 0\r\n\r\n";

describe("EarlyRefuser", () => {
  let server: http.Server;
  let refuser: EarlyRefuser;
  let waitedMs: number;
  let retryAfterMs: number | undefined;
  let isFaulty: boolean;
  let isEncrypted: boolean;
  let served: string[];
  beforeEach(async () => {
    waitedMs = WAITED_MS;
    retryAfterMs = 200;
    isFaulty = false;
    isEncrypted = false;
    served = [];
    server = http.createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on("data", (chunk: Buffer) => chunks.push(chunk));
      request.on("end", () => {
        served.push(`${request.url} ${Buffer.concat(chunks).toString()}`);
        response.end("served");
      });
    });
    const serve = takeConnectionListener(server);
    server.on("connection", (socket: net.Socket) => {
      createRefuser(serve).accept(socket);
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
  });
  afterEach(() => {
    refuser.close();
    server.closeAllConnections();
    server.close();
  });

  function createRefuser(serve: (socket: net.Socket) => void): EarlyRefuser {
    refuser = new EarlyRefuser({
      clock: new FakeClock(),
      random: new SeededRandomSource(1),
      loop: { observeRead: () => undefined },
      acceptQueue: {
        estimateUnread: () => ({ minUnreadMs: 0, likelyUnreadMs: waitedMs }),
      },
      arrivals: { findRetryAfterMs: () => retryAfterMs },
      dialect: {
        estimateTimes: () => {
          if (isFaulty) {
            throw new Error("injected");
          }
          return UNLIMITED_TIMES;
        },
        renderRefusal: () => REFUSAL,
      },
      isEncrypted,
      serve,
      run: (socket, step) => {
        try {
          step();
        } catch {
          socket.destroy();
        }
      },
    });
    return refuser;
  }

  // Sends pieces one after the other, and returns what has come 100 ms later.
  async function send(
    ...pieces: readonly string[]
  ): Promise<{ readonly received: string; readonly isClosed: boolean }> {
    const { port } = server.address() as net.AddressInfo;
    const socket = net.connect(port, "127.0.0.1");
    let received = "";
    let isClosed = false;
    socket.on("data", (chunk: Buffer) => {
      received += chunk.toString();
    });
    socket.on("error", () => undefined);
    socket.on("end", () => {
      isClosed = true;
    });
    for (const piece of pieces) {
      socket.write(piece);
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    socket.destroy();
    return { received, isClosed };
  }

  it.each([
    ["without a body", GET],
    ["with a body", `${POST_HEAD}abcdef`],
  ])("refuses a request %s without Node's server", async (_name, request) => {
    expect(await send(request)).toEqual({
      received: REFUSAL,
      isClosed: true,
    });
    expect(served).toEqual([]);
  });

  it("has requests served that have time left", async () => {
    retryAfterMs = undefined;
    await send(GET, GET, `${POST_HEAD}abc`, "def");
    expect(served).toEqual(["/read/1 ", "/read/1 ", "/book/1 abcdef"]);
  });

  it("has a request served whose end it has not read", async () => {
    await send(`${POST_HEAD}abc`, "def");
    await send(GET.slice(0, 20), GET.slice(20));
    await send(GET + GET);
    expect(served).toEqual([
      "/book/1 abcdef",
      "/read/1 ",
      "/read/1 ",
      "/read/1 ",
    ]);
  });

  it("has requests served that have not waited", async () => {
    waitedMs = 0;
    await send(GET);
    expect(served).toEqual(["/read/1 "]);
  });

  it("reads nothing of encrypted connections", async () => {
    isEncrypted = true;
    await send(GET);
    expect(served).toEqual(["/read/1 "]);
  });

  it("has a connection served whose caller sends later", async () => {
    await send("", ...Array.from({ length: 11 }, () => ""), GET);
    expect(served).toEqual(["/read/1 "]);
  });

  it("ends the connection alone if a step throws", async () => {
    isFaulty = true;
    expect(await send(GET)).toEqual({ received: "", isClosed: true });
    isFaulty = false;
    expect((await send(GET)).received).toBe(REFUSAL);
  });

  it("closes the connections that nobody serves", async () => {
    const ended = send("", "");
    await new Promise((resolve) => setTimeout(resolve, 50));
    refuser.close();
    expect((await ended).isClosed).toBe(true);
  });
});
