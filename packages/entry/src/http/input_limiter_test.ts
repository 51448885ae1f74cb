// Guards against clients that send without end and read nothing, and against requests
// that change or get lost because they come in odd pieces.
import * as http from "node:http";
import * as net from "node:net";

import { SeededRandomSource } from "@limpetford/core/time/random_source";

import { PrometheusMetrics } from "../telemetry/prometheus_metrics.ts";
import { SystemClock } from "../vm/system_clock.ts";
import { InputLimiter, type ServerInputs } from "./input_limiter.ts";

const HOST = "127.0.0.1";
const AHEAD = 200;
const HOLD_MS = 100;
const IDLE_MS = 300;
const SEEDS = [1, 2, 3, 4];
const MIXED_REQUESTS = 60;
const MAX_PIECE_BYTES = 90;
const MANY_CLIENTS = 400;
/** Requests of about 60 KB together. */
const MANY_AHEAD = 2_000;
/** What each of them holds at least once it is no longer read. */
const MIN_AHEAD_BYTES = 65_536;
/** Limit of all connections together. */
const AHEAD_BYTES = 16_777_216;
const MAX_BODY_BYTES = 3_000;

interface Received {
  readonly url: string;
  readonly body: string;
}

function buildGet(index: number): string {
  return `GET /${index} HTTP/1.1\r\nhost: a\r\n\r\n`;
}

// Sends in the given pieces, and collects what comes until the connection is closed.
function sendPieces(port: number, pieces: readonly string[]): Promise<string> {
  return new Promise((resolve) => {
    let text = "";
    const socket = net.connect(port, HOST);
    socket.setNoDelay(true);
    socket.on("error", () => undefined);
    socket.on("data", (bytes) => text += bytes.toString("latin1"));
    socket.on("close", () => {
      resolve(text);
    });
    const sendNext = (index: number): void => {
      const piece = pieces[index];
      if (piece !== undefined) {
        socket.write(piece);
        setImmediate(sendNext, index + 1);
      }
    };
    sendNext(0);
  });
}

describe("InputLimiter", () => {
  let server: http.Server;
  let inputs: ServerInputs;
  let metrics: PrometheusMetrics;
  let port: number;
  let received: Received[];
  let openCount: number;
  let mostOpen: number;
  let respond: (request: Received, response: http.ServerResponse) => void;
  beforeEach(async () => {
    received = [];
    openCount = 0;
    mostOpen = 0;
    respond = ({ url }, response) => response.end(url);
    server = http.createServer((request, response) => {
      openCount += 1;
      mostOpen = Math.max(mostOpen, openCount);
      response.on("close", () => openCount -= 1);
      let body = "";
      request.on("data", (bytes: Buffer) => body += bytes.toString("latin1"));
      request.on("end", () => {
        const whole = { url: request.url ?? "", body };
        received.push(whole);
        respond(whole, response);
      });
    });
    metrics = new PrometheusMetrics();
    inputs = new InputLimiter(new SystemClock(), metrics).enforce(server);
    await new Promise<void>((resolve) => {
      server.listen(0, HOST, resolve);
    });
    port = (server.address() as net.AddressInfo).port;
  });
  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  it("answers all requests that were sent ahead, a few at a time", async () => {
    respond = ({ url }, response) => {
      const isLast = url === `/${AHEAD - 1}`;
      response.setHeader("connection", isLast ? "close" : "keep-alive");
      setImmediate(() => response.end(url));
    };
    const requests = Array.from(
      { length: AHEAD },
      (_, index) => buildGet(index),
    );
    const text = await sendPieces(port, [requests.join("")]);
    expect(text.match(/HTTP\/1\.1 200/g)).toHaveLength(AHEAD);
    expect(received.map(({ url }) => url))
      .toEqual(requests.map((_, index) => `/${index}`));
    expect(mostOpen).toBeLessThanOrEqual(2);
  });

  it.each(SEEDS)("keeps bodies as they were sent, seed %i", async (seed) => {
    const random = new SeededRandomSource(seed);
    const sample = (limit: number): number =>
      Math.floor(random.sampleUniform() * limit);
    const sent = Array.from({ length: MIXED_REQUESTS }, (_, index) => ({
      url: `/${index}`,
      body: Array.from(
        { length: sample(MAX_BODY_BYTES) },
        () => "ab\r\n"[sample(4)],
      ).join(""),
    }));
    const text = sent.map(({ url, body }) => {
      const head = `POST ${url} HTTP/1.1\r\nhost: a\r\n`;
      const isChunked = body.length > 0 && sample(2) === 0;
      return isChunked
        ? `${head}transfer-encoding: chunked\r\n\r\n` +
          `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`
        : `${head}content-length: ${body.length}\r\n\r\n${body}`;
    }).join("") + "GET /end HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    const pieces: string[] = [];
    for (let start = 0; start < text.length;) {
      const end = start + 1 + sample(MAX_PIECE_BYTES);
      pieces.push(text.slice(start, end));
      start = end;
    }
    await sendPieces(port, pieces);
    expect(received).toEqual([...sent, { url: "/end", body: "" }]);
  });

  it("discards what comes behind the last response", async () => {
    respond = ({ url }, response) => {
      response.setHeader("connection", "close");
      response.end(url);
    };
    const text = await sendPieces(port, [
      buildGet(0),
      ...Array.from({ length: AHEAD }, (_, index) => buildGet(index)),
    ]);
    expect(text.startsWith("HTTP/1.1 200")).toBe(true);
    expect(text.match(/HTTP\/1\.1/g)).toHaveLength(1);
  });

  it("tells that a client has left, although it had sent ahead", async () => {
    respond = () => undefined;
    const closed = new Promise((resolve) => {
      server.on("connection", (socket) => socket.on("close", resolve));
    });
    const client = net.connect(port, HOST);
    client.write(buildGet(0) + buildGet(1));
    await new Promise((resolve) => setTimeout(resolve, HOLD_MS));
    client.destroy();
    await closed;
    expect(received).toEqual([{ url: "/0", body: "" }]);
  });

  it("tells how long a request has waited behind another one", async () => {
    const waited: number[] = [];
    server.on("request", ({ socket }) => {
      waited.push(inputs.find(socket)?.waitedMs ?? NaN);
    });
    respond = ({ url }, response) => {
      response.setHeader("connection", url === "/1" ? "close" : "keep-alive");
      setTimeout(() => response.end(), HOLD_MS);
    };
    await sendPieces(port, [buildGet(0) + buildGet(1)]);
    expect(waited[0]).toBe(0);
    expect(waited[1]).toBeGreaterThanOrEqual(HOLD_MS - 1);
  });

  it("closes a connection whose client takes nothing of a response", async () => {
    server.timeout = IDLE_MS;
    respond = (_, response) => response.end(Buffer.alloc(50_000_000));
    const closed = new Promise((resolve) => {
      server.on("connection", (socket) => socket.on("close", resolve));
    });
    const client = net.connect(port, HOST);
    client.pause();
    client.on("error", () => undefined);
    client.write(buildGet(0));
    await closed;
    client.destroy();
  });

  it("closes connections whose requests sent ahead hold too much", async () => {
    respond = () => undefined;
    const clients = Array.from({ length: MANY_CLIENTS }, () => {
      const client = net.connect(port, HOST);
      client.on("error", () => undefined);
      client.write(buildGet(0).repeat(MANY_AHEAD));
      return client;
    });
    const countOpen = (): number =>
      clients.filter(({ closed }) => !closed).length;
    while (countOpen() * MIN_AHEAD_BYTES >= AHEAD_BYTES) {
      await new Promise((resolve) => setTimeout(resolve, HOLD_MS));
    }
    expect(countOpen()).toBeGreaterThan(0);
    clients.forEach((client) => client.destroy());
    expect(await metrics.render()).toContain('{kind="sent-ahead"}');
  });

  it("keeps a connection whose response takes long to come", async () => {
    server.timeout = IDLE_MS;
    respond = (_, response) => {
      response.setHeader("connection", "close");
      setTimeout(() => response.end("late"), IDLE_MS * 3);
    };
    expect(await sendPieces(port, [buildGet(0)])).toContain("late");
  });
});
