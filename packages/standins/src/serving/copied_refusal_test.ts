// Guards against a copy of an earlier refusal, without the name of its request, that
// is taken for the proof that the next request on the connection did not run.

import * as net from "node:net";

import type { SocketAddress } from "@limpetford/domain/vm";

import { type ClientResponse, sendRequest } from "./http_client.ts";
import { HARNESS_KEY, ServingHarness } from "./serving_harness.ts";

const REFUSAL = "HTTP/1.1 503 X\r\nlimpetford-outcome: not-run\r\n" +
  "content-length: 0\r\n\r\n";
const ATTEMPT = /limpetford-attempt-id: (\S+)/i;

// Answers the first request, and refuses all others without a name.
class RefusingServer {
  readonly #server: net.Server;
  connectionCount = 0;
  #received = 0;

  constructor(isFirstNamed: boolean) {
    this.#server = net.createServer((socket) => {
      this.connectionCount += 1;
      socket.on("error", () => undefined);
      socket.on("data", (bytes) => {
        this.#received += 1;
        const id = ATTEMPT.exec(bytes.toString("latin1"))?.[1] ?? "";
        const name = isFirstNamed ? `limpetford-attempt-id: ${id}\r\n` : "";
        socket.write(
          this.#received === 1
            ? `HTTP/1.1 200 OK\r\n${name}content-length: 0\r\n\r\n`
            : REFUSAL,
        );
      });
    });
  }

  async start(): Promise<SocketAddress> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = this.#server.address() as net.AddressInfo;
    return { host: "127.0.0.1", port };
  }

  async stop(): Promise<void> {
    await new Promise((resolve) => this.#server.close(resolve));
  }
}

describe("a refusal that names no request, on a connection used before", () => {
  it.each([
    { isFirstNamed: true, status: 502, outcome: "unknown" },
    { isFirstNamed: false, status: 503, outcome: "not-run" },
  ])(
    "is $outcome if the response before was named: $isFirstNamed",
    async ({ isFirstNamed, status, outcome }) => {
      const server = new RefusingServer(isFirstNamed);
      const harness = new ServingHarness({
        backendAddresses: [await server.start()],
      });
      await harness.start();
      const send = (path: string, method: string): Promise<ClientResponse> =>
        sendRequest(harness.address, path, {
          method,
          headers: {
            authorization: `Bearer ${HARNESS_KEY}`,
            "idempotency-key": "k",
          },
          abortAfterMs: 1_500,
        });
      const first = await send("/read", "GET");
      const second = await send("/confirm", "POST");
      const { connectionCount } = server;
      await harness.stop();
      await server.stop();
      expect(first.status).toBe(200);
      expect(connectionCount).toBe(1);
      expect(second.status).toBe(status);
      expect(second.headers["limpetford-outcome"]).toBe(outcome);
    },
  );
});
