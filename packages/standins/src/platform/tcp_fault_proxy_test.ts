import * as net from "node:net";

import { TcpFaultProxy } from "./tcp_fault_proxy.ts";

const HOLDER_HOST = "127.0.0.1";

async function startListening(
  server: net.Server,
  host: string,
  port: number,
): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
}

// Guards against a link that cannot return, since another process has taken its
// port of the common address while it refused connections.
describe("TcpFaultProxy", () => {
  it("listens again although its port was taken on the common address", async () => {
    const target = net.createServer((socket) => {
      socket.end("ok");
    });
    await startListening(target, HOLDER_HOST, 0);
    const { port } = target.address() as net.AddressInfo;
    const proxy = new TcpFaultProxy({ host: HOLDER_HOST, port });
    const address = await proxy.start();
    proxy.setRefusing(true);
    const holder = net.createServer();
    await startListening(holder, HOLDER_HOST, address.port);
    proxy.setRefusing(false);
    const received = await new Promise<string>((resolve, reject) => {
      const socket = net.connect(address.port, address.host);
      socket.once("data", (chunk) => {
        resolve(chunk.toString());
      });
      socket.once("error", reject);
    });
    expect(received).toBe("ok");
    await proxy.stop();
    holder.close();
    target.close();
  });
});
