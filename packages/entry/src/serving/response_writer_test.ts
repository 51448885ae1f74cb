import * as http from "node:http";
import type { AddressInfo } from "node:net";

import { ResponseWriter } from "./response_writer.ts";

const CHUNKS = 20_000;

describe("ResponseWriter", () => {
  it("waits once for a caller that takes no more, whatever is written", async () => {
    let listeners = 0;
    const server = http.createServer((_request, response) => {
      const writer = new ResponseWriter(response);
      writer.writeHeaders(200, []);
      for (let index = 0; index < CHUNKS; index++) {
        writer.write(Buffer.from("x"));
      }
      listeners = response.listenerCount("drain");
      writer.complete(undefined);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = server.address() as AddressInfo;
    const body = await (await fetch(`http://127.0.0.1:${port}`)).text();
    server.closeAllConnections();
    server.close();
    expect(body.length).toBe(CHUNKS);
    expect(listeners).toBe(1);
  });
});
