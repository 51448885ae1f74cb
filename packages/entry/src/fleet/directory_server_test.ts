import { FakeClock } from "@limpetford/core/time/fake_clock";
import { generateLoopbackHost } from "@limpetford/peer/fakes/loopback_host";

import { CollectedExceptions } from "../fakes/collected_exceptions.ts";
import { InputLimiter } from "../http/input_limiter.ts";
import { DirectoryServer, DirectorySource } from "./directory_server.ts";

const PORT = 18_003;
const STATUS_OK = 200;

class ThrowingSource extends DirectorySource {
  override listAddresses(): never {
    throw new Error("odd record");
  }

  override isReady(): boolean {
    return true;
  }
}

// Guards against one request that ends the process.
describe("DirectoryServer", () => {
  it("ends only the connection that an exception comes from", async () => {
    const exceptions = new CollectedExceptions();
    const server = new DirectoryServer(new ThrowingSource(), {
      exceptions,
      inputs: new InputLimiter(new FakeClock()),
    });
    const host = generateLoopbackHost();
    await server.start([{ host, port: PORT }]);
    const origin = `http://${host}:${PORT}`;
    await expect(fetch(`${origin}/resolution`)).rejects.toThrow();
    expect((await fetch(`${origin}/readiness`)).status).toBe(STATUS_OK);
    expect(exceptions.sources).toEqual(["directory"]);
    server.stop();
  });
});
