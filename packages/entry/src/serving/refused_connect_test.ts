import * as net from "node:net";

import { SystemClock } from "../vm/system_clock.ts";
import { BackendConnectionPool } from "./backend_connection_pool.ts";

async function findClosedPort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

// Guards against a request that waits for its timeout, or a process that ends,
// as a connection to a server that does not listen has no socket.
describe("a connection to a server that does not listen", () => {
  it("fails at once", async () => {
    const pool = new BackendConnectionPool(new SystemClock());
    const port = await findClosedPort();
    const { client } = pool.acquire({ host: "127.0.0.1", port }, "1");
    await expect(client.request({ method: "GET", path: "/" }))
      .rejects.toMatchObject({ code: "ECONNREFUSED" });
    await pool.close();
  }, 3_000);
});
