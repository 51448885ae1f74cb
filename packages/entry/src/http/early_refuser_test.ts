// Guards against a VM that refuses as slowly as it serves: its accept queue grew until
// all were refused, seconds late.
import * as http from "node:http";
import * as net from "node:net";

import { FakeClock } from "@limpetford/core/time/fake_clock";
import { SeededRandomSource } from "@limpetford/core/time/random_source";
import { type RequestId, toId } from "@limpetford/domain/ids";

import { UNLIMITED_TIMES } from "../serving/arrival.ts";
import { EarlyRefuser } from "./early_refuser.ts";

const WAITED_MS = 600;
const GET = "GET /read/1 HTTP/1.1\r\nhost: bands.example\r\n\r\n";
const POST_HEAD = "POST /book/1 HTTP/1.1\r\nhost: bands.example\r\n" +
  "content-length: 6\r\n\r\n";

describe("EarlyRefuser", () => {
  let server: http.Server;
  let waitedMs: number;
  let retryAfterMs: number | undefined;
  let isFaulty: boolean;
  let served: string[];
  beforeEach(async () => {
    waitedMs = WAITED_MS;
    retryAfterMs = 200;
    isFaulty = false;
    served = [];
    const refuser = new EarlyRefuser({
      clock: new FakeClock(),
      random: new SeededRandomSource(1),
      loop: { observeRead: () => undefined },
      acceptQueue: {
        estimateUnread: () => ({ minUnreadMs: 0, likelyUnreadMs: waitedMs }),
      },
      arrivals: {
        findRetryAfterMs: (times) =>
          times === UNLIMITED_TIMES ? undefined : retryAfterMs,
      },
      dialect: {
        estimateTimes: () => {
          if (isFaulty) {
            throw new Error("injected");
          }
          return { arrivedAtMs: 0, deadlineAtMs: 0 };
        },
        sendRefusal: (response, refusal) => {
          response.writeHead(503, { connection: "close" });
          response.end(`${refusal.kind} ${refusal.retryAfterMs}`);
        },
      },
    });
    server = http.createServer((request, response) => {
      if (
        refuser.hasRefused(request.socket) ||
        refuser.refuse({ id: toId<RequestId>("r1"), request, response })
      ) {
        return;
      }
      served.push(request.url ?? "");
      request.resume();
      response.end("served");
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
  });
  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

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
    { name: "without a body", pieces: [GET] },
    { name: "with a body", pieces: [`${POST_HEAD}abcdef`] },
    { name: "whose body is under way", pieces: [`${POST_HEAD}abc`, "def"] },
    { name: "that another one follows", pieces: [GET + GET] },
  ])("refuses a request $name and closes its connection", async (row) => {
    const { received, isClosed } = await send(...row.pieces);
    expect(received.split("HTTP/1.1 503 Service Unavailable")).toHaveLength(2);
    expect(received).toContain("vm-busy 200");
    expect(isClosed).toBe(true);
    expect(served).toEqual([]);
  });

  it("leaves requests that have time left", async () => {
    retryAfterMs = undefined;
    await send(GET, `${POST_HEAD}abcdef`);
    expect(served).toEqual(["/read/1", "/book/1"]);
  });

  it("leaves requests that have not waited", async () => {
    waitedMs = 0;
    await send(GET);
    expect(served).toEqual(["/read/1"]);
  });

  it("leaves requests whose time can't be estimated", async () => {
    isFaulty = true;
    await send(GET);
    expect(served).toEqual(["/read/1"]);
  });
});
