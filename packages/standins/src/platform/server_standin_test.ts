import { once } from "node:events";
import * as net from "node:net";

import { ServerStandin } from "./server_standin.ts";

const DOWN_MS = 50;

// Guards against a server that cannot return from a crash, since another process
// has taken its port of the common address meanwhile.
describe("ServerStandin", () => {
  it("listens again although its port was taken on the common address", async () => {
    const server = new ServerStandin("i-0");
    await server.start();
    const isBack = new Promise<void>((resolve) => {
      server.outageListener = (isDown): void => {
        if (!isDown) {
          resolve();
        }
      };
    });
    server.stopAbruptly(DOWN_MS);
    const holder = net.createServer().listen(server.address.port, "127.0.0.1");
    await once(holder, "listening");
    await isBack;
    expect(server.isDown).toBe(false);
    await server.stop();
    holder.close();
  });
});
