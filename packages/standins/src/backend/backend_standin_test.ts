import { once } from "node:events";
import * as net from "node:net";

import { BackendStandin } from "./backend_standin.ts";

// Guards against a server that cannot be started again, since another process
// has taken its port of the common address meanwhile.
describe("BackendStandin", () => {
  it("starts again although its port was taken on the common address", async () => {
    const backend = new BackendStandin();
    const address = await backend.start();
    await backend.stop();
    const holder = net.createServer().listen(address.port, "127.0.0.1");
    await once(holder, "listening");
    expect(await backend.start()).toEqual(address);
    await backend.stop();
    holder.close();
  });
});
