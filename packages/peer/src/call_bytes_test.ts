/*
 * Guards the per-message overhead that the traffic figures assume: if gRPC sent
 * more bytes per call, those figures would be too low.
 */
import { createConnection, createServer, type Socket } from "node:net";

import type { SocketAddress } from "@limpetford/domain/vm";

import {
  HeartbeatReply,
  HeartbeatRequest,
  MembershipClient,
  MembershipService,
} from "./generated/membership.ts";
import { PeerChannels } from "./peer_channels.ts";
import { PeerServer } from "./peer_server.ts";

const CALLS = 50;
const TIMEOUT_MS = 2_000;
/** Upper bound of gRPC and HTTP/2 overhead per message, in bytes. */
const MAX_OVERHEAD_BYTES = 60;
const REQUEST = HeartbeatRequest.fromPartial({ sequence: 1 });

/** TCP proxy that counts the bytes forwarded in both directions. */
class ByteCountingProxy {
  bytes = 0;
  readonly #sockets: Socket[] = [];
  readonly #server = createServer((client) => {
    const upstream = createConnection(this.#target);
    this.#sockets.push(client, upstream);
    client.on("data", (chunk) => {
      this.bytes += chunk.length;
    });
    upstream.on("data", (chunk) => {
      this.bytes += chunk.length;
    });
    client.pipe(upstream);
    upstream.pipe(client);
  });
  readonly #target: SocketAddress;

  constructor(target: SocketAddress) {
    this.#target = target;
  }

  async open(): Promise<SocketAddress> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    const address = this.#server.address();
    const port = typeof address === "object" ? address?.port : undefined;
    return { host: "127.0.0.1", port: port ?? 0 };
  }

  close(): void {
    this.#sockets.forEach((socket) => {
      socket.destroy();
    });
    this.#server.close();
  }
}

describe("a heartbeat on an open channel", () => {
  it("stays below the assumed overhead per message", async () => {
    const server = new PeerServer();
    server.register(MembershipService, {
      heartbeat: (_call: unknown, callback: (e: null, r: unknown) => void) => {
        callback(null, HeartbeatReply.fromPartial({}));
      },
    });
    const target = await server.bind(
      { host: "127.0.0.1", port: 0 },
      undefined,
    );
    const proxy = new ByteCountingProxy(target);
    const to = await proxy.open();
    const channels = new PeerChannels();
    const call = channels.bind(
      MembershipClient,
      (client) => client.heartbeat.bind(client),
    );
    await call(REQUEST, { to, timeoutMs: TIMEOUT_MS });
    proxy.bytes = 0;
    for (let count = 0; count < CALLS; count += 1) {
      await call(REQUEST, { to, timeoutMs: TIMEOUT_MS });
    }
    const payload = HeartbeatRequest.encode(REQUEST).finish().length;
    const overhead = proxy.bytes / CALLS - payload;
    channels.close();
    proxy.close();
    server.close();
    expect(overhead / 2).toBeLessThan(MAX_OVERHEAD_BYTES);
  });
});
