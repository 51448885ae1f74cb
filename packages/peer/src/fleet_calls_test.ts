// Guards against a fleet in which only some VMs know compressed messages: a VM
// that does not must neither get nor be asked for one.

import * as http from "node:http";
import type { AddressInfo } from "node:net";

import { makeOk } from "@limpetford/domain/result";
import type { SocketAddress } from "@limpetford/domain/vm";

import { CallTraffic } from "./call_traffic.ts";
import { generateLoopbackHost } from "./fakes/loopback_host.ts";
import { FleetCallServer } from "./fleet_call_server.ts";
import { CALL_COMPRESSION, FleetCallClient } from "./fleet_calls.ts";

const TIMEOUT_MS = 2_000;
const PORT = 18_000;
const REPLY = { isGranted: true, retryAfterMs: 0 };

class CountingTraffic extends CallTraffic {
  readonly calls: string[] = [];

  override recordCall(_to: SocketAddress, purpose: string): void {
    this.calls.push(purpose);
  }
}

describe("FleetCallClient", () => {
  let client: FleetCallClient;
  let traffic: CountingTraffic;
  let stopServer: () => void;
  let to: SocketAddress;
  beforeEach(() => {
    traffic = new CountingTraffic();
    client = new FleetCallClient(traffic);
  });
  afterEach(async () => {
    await client.close();
    stopServer();
  });

  async function startServer(): Promise<void> {
    const unexpected = (): never => {
      throw new Error("unexpected call");
    };
    to = { host: generateLoopbackHost(), port: PORT };
    const server = new FleetCallServer({
      handleExchange: unexpected,
      handleEvidence: unexpected,
      handleTokenRequest: ({ team }) => ({
        ...REPLY,
        isGranted: team === "dance",
      }),
      handleServerTokenRequest: unexpected,
      handleServerLimitReport: unexpected,
      handleForwarded: unexpected,
    });
    await server.bind(to);
    stopServer = () => {
      server.close();
    };
  }

  // A VM of an earlier version reads and writes plain JSON, whatever is accepted.
  async function startOldServer(): Promise<void> {
    const server = http.createServer((request, response) => {
      request.resume().on("end", () => {
        response.end(JSON.stringify(REPLY));
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    to = { host: "127.0.0.1", port: (server.address() as AddressInfo).port };
    stopServer = () => {
      server.close();
      server.closeAllConnections();
    };
  }

  it.each(Object.values(CALL_COMPRESSION))(
    "calls a VM with compression %s",
    async (compression) => {
      await startServer();
      const reply = await client.sendTokenRequest(
        { team: "dance" },
        { to, timeoutMs: TIMEOUT_MS, compression },
      );
      expect(reply).toEqual(makeOk(REPLY));
      expect(traffic.calls).toEqual(["token"]);
    },
  );

  it.each([CALL_COMPRESSION.none, CALL_COMPRESSION.reply])(
    "calls a VM of an earlier version with compression %s",
    async (compression) => {
      await startOldServer();
      const reply = await client.sendTokenRequest(
        { team: "dance" },
        { to, timeoutMs: TIMEOUT_MS, compression },
      );
      expect(reply).toEqual(makeOk(REPLY));
    },
  );
});
