import { once } from "node:events";
import * as net from "node:net";

import { FakeClock } from "@limpetford/core/time/fake_clock";

import { connectQueueProbe } from "./tcp_queue_probe.ts";

describe("TcpQueueProbe", () => {
  const clock = new FakeClock();
  let server: net.Server;
  beforeEach(() => {
    server = net.createServer();
  });
  afterEach(async () => {
    server.close();
    await once(server, "close");
  });

  async function accept(): Promise<net.Socket> {
    const [socket] = await once(server, "connection") as [net.Socket];
    return socket;
  }

  it.each(["127.0.0.1", "0.0.0.0"])(
    "is recognized among other connections at %s",
    async (host) => {
      server.listen(0, host);
      await once(server, "listening");
      const { port } = server.address() as net.AddressInfo;
      const before = net.connect(port, "127.0.0.1");
      const first = await accept();
      const probe = connectQueueProbe(server, clock);
      const second = await accept();
      expect([first, second].map((socket) => probe?.isOtherEnd(socket)))
        .toEqual([false, true]);
      await new Promise((resolve) => setImmediate(resolve));
      expect(probe?.queuedAtMs).toBe(clock.readMonotonicMs());
      probe?.close();
      expect(probe?.isClosed).toBe(true);
      [before, first, second].forEach((socket) => socket.destroy());
    },
  );

  it("is not opened while the server does not listen", async () => {
    expect(connectQueueProbe(server, clock)).toBeUndefined();
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
  });
});
