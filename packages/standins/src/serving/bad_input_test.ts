/**
 * Guards against requests that are malformed, oversized or never completed:
 * the caller server must refuse them, report them as not run, send nothing to
 * a backend server, and go on serving valid requests.
 */

import * as net from "node:net";

import fc from "fast-check";

import { sendRequest } from "./http_client.ts";
import { HARNESS_KEY, ServingHarness } from "./serving_harness.ts";

const AUTHORIZATION = `authorization: Bearer ${HARNESS_KEY}\r\n`;
const HEADERS_TIMEOUT_MS = 500;
const IDLE_CONNECTIONS = 2_000;

describe("malformed requests", () => {
  const harness = new ServingHarness({
    deadlineMs: 1_000,
    server: {
      headersTimeoutMs: HEADERS_TIMEOUT_MS,
      maxConnections: IDLE_CONNECTIONS + 100,
      bodyBudgetBytes: 300_000,
    },
  });

  beforeAll(() => harness.start());
  afterAll(() => harness.stop());

  function sendRaw(text: string): Promise<string> {
    const { host, port } = harness.address;
    return new Promise((resolve) => {
      const socket = net.connect({ host, port });
      let received = "";
      socket.on("data", (chunk: Buffer) => {
        received += chunk.toString("latin1");
      });
      socket.on("error", () => undefined);
      socket.on("close", () => {
        resolve(received);
      });
      socket.write(text, "latin1");
    });
  }

  const head = (line: string, rest = ""): string =>
    `${line}\r\nhost: a\r\n${AUTHORIZATION}connection: close\r\n${rest}\r\n`;

  it.each([
    { name: "bytes that are not HTTP", text: "hello\r\n\r\n", status: 400 },
    {
      name: "a missing Host header",
      text: "GET /read HTTP/1.1\r\nconnection: close\r\n\r\n",
      status: 400,
    },
    {
      name: "two Host headers",
      text: head("GET /read HTTP/1.1", "host: b\r\n"),
      status: 400,
    },
    {
      name: "an unsupported Expect header",
      text: head("POST /read HTTP/1.1", "expect: more\r\n"),
      status: 400,
    },
    {
      name: "an absolute URI as the target",
      text: head("GET http://elsewhere/read HTTP/1.1"),
      status: 400,
    },
    { name: "the target *", text: head("OPTIONS * HTTP/1.1"), status: 400 },
    {
      name: "headers above the size limit",
      text: head("GET /read HTTP/1.1", `x: ${"a".repeat(20_000)}\r\n`),
      status: 431,
    },
    {
      name: "a Content-Length beside a chunked body",
      text: head(
        "POST /read HTTP/1.1",
        "content-length: 5\r\ntransfer-encoding: chunked\r\n",
      ) + "0\r\n\r\n",
      status: 400,
    },
    {
      name: "two Content-Length headers",
      text: head(
        "POST /read HTTP/1.1",
        "content-length: 5\r\ncontent-length: 6\r\n",
      ) + "hello",
      status: 400,
    },
    {
      name: "a Content-Length that is not a number",
      text: head("POST /read HTTP/1.1", "content-length: five\r\n"),
      status: 400,
    },
    {
      name: "a chunk size that is not a number",
      text: head("POST /confirm HTTP/1.1", "transfer-encoding: chunked\r\n") +
        "xyz\r\n",
      status: undefined,
    },
    {
      name: "a body above the size limit",
      text: head("POST /confirm HTTP/1.1", "content-length: 200001\r\n"),
      status: 413,
    },
    {
      name: "a chunked body above the size limit",
      text: head("POST /confirm HTTP/1.1", "transfer-encoding: chunked\r\n") +
        `30d41\r\n${"a".repeat(200_001)}\r\n0\r\n\r\n`,
      status: 413,
    },
    {
      name: "a body that never completes",
      text: head("POST /confirm HTTP/1.1", "content-length: 5\r\n") + "he",
      status: 408,
    },
    {
      name: "headers that never complete",
      text: "GET /read HTTP/1.1\r\nhost: a\r\n",
      status: 408,
    },
    {
      name: "an unknown method",
      text: head("BREW /read HTTP/1.1"),
      status: 400,
    },
  ])("refuses $name without running it", async ({ text, status }) => {
    const received = await sendRaw(text);
    if (status === undefined) {
      expect(received).toBe("");
    } else {
      expect(received).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
      expect(received).toMatch(/limpetford-outcome: not-run/i);
      expect(received).toMatch(/application\/problem\+json/);
    }
    expect(harness.backend.runCount).toBe(0);
  });

  it("neither runs arbitrary bytes nor stops serving after them", async () => {
    const piece = fc.oneof(
      fc.constantFrom(
        "GET ",
        "POST ",
        "/read",
        "/confirm",
        " HTTP/1.1\r\n",
        "\r\n",
        "\r\n\r\n",
        "host: a\r\n",
        "content-length: 3\r\n",
        "content-length: -1\r\n",
        "transfer-encoding: chunked\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "connection: close\r\n",
        "upgrade: h2c\r\n",
        "expect: 100-continue\r\n",
        "0\r\n\r\n",
        "\0",
      ),
      fc.string({ maxLength: 20 }),
    );
    const input = fc.array(piece, { maxLength: 12 });
    await fc.assert(
      fc.asyncProperty(input, async (pieces) => {
        const { host, port } = harness.address;
        const received = await new Promise<string>((resolve) => {
          const socket = net.connect({ host, port });
          let text = "";
          socket.on("data", (chunk: Buffer) => {
            text += chunk.toString("latin1");
          });
          socket.on("error", () => undefined);
          socket.on("close", () => {
            resolve(text);
          });
          socket.end(pieces.join(""), "latin1");
        });
        // No input carries the caller's key, so none may run.
        expect(received).not.toMatch(/^HTTP\/1.1 2/m);
        expect(received).not.toMatch(/limpetford-outcome: (ran|unknown)/i);
      }),
      { seed: 9, numRuns: 200 },
    );
    expect(harness.backend.runCount).toBe(0);
    const after = await sendRequest(harness.address, "/read", {
      headers: { authorization: `Bearer ${HARNESS_KEY}` },
    });
    expect(after.status).toBe(200);
  });

  it("serves beside 2,000 idle connections, then closes them", async () => {
    const { host, port } = harness.address;
    const sockets = Array.from(
      { length: IDLE_CONNECTIONS },
      () => net.connect({ host, port }),
    );
    const closed = sockets.map((socket) =>
      new Promise((resolve) => {
        socket.on("error", () => undefined);
        socket.on("data", () => undefined);
        socket.on("close", resolve);
      })
    );
    await Promise.all(
      sockets.map((socket) =>
        new Promise((resolve) => socket.on("connect", resolve))
      ),
    );
    const result = await sendRequest(harness.address, "/read", {
      headers: { authorization: `Bearer ${HARNESS_KEY}` },
    });
    expect(result.status).toBe(200);
    await Promise.all(closed);
  });
});
