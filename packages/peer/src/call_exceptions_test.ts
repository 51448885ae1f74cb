// Guards against one call between VMs that ends the process of either side.

import { generateLoopbackHost } from "./fakes/loopback_host.ts";
import { FleetCallServer } from "./fleet_call_server.ts";
import { FleetCallClient } from "./fleet_calls.ts";
import type { TokenReply } from "./fleet_sync.ts";

const PORT = 18_000;
const TIMEOUT_MS = 1_000;
const STATUS_FAILED = 500;

describe("an exception of a call between VMs", () => {
  const host = generateLoopbackHost();
  const to = { host, port: PORT };
  let exceptions: unknown[];
  let client: FleetCallClient;
  let server: FleetCallServer;
  beforeEach(async () => {
    exceptions = [];
    const handleException = (error: unknown): void => {
      exceptions.push(error);
    };
    const throwFault = (): never => {
      throw new Error("fault at a call");
    };
    client = new FleetCallClient(undefined, handleException);
    server = new FleetCallServer({
      handleExchange: throwFault,
      handleEvidence: throwFault,
      handleTokenRequest: () =>
        ({ isGranted: true, retryAfterMs: 1n }) as unknown as TokenReply,
      handleServerTokenRequest: throwFault,
      handleServerLimitReport: throwFault,
      handleForwarded: throwFault,
    }, { handleException });
    await server.bind(to);
  });
  afterEach(async () => {
    await client.close();
    server.close();
  });

  async function send(
    path: string,
    init: RequestInit,
  ): Promise<number | undefined> {
    try {
      const signal = AbortSignal.timeout(TIMEOUT_MS);
      const response = await fetch(`http://${host}:${PORT}${path}`, {
        ...init,
        signal,
      });
      return response.status;
    } catch {
      return undefined;
    }
  }

  it.each<[string, string, RequestInit, number | undefined]>([
    [
      "a reply that can't be encoded",
      "/token",
      { method: "POST", body: JSON.stringify({ team: "dance" }) },
      STATUS_FAILED,
    ],
    [
      "a message that can't be handled",
      "/evidence",
      { method: "POST", body: JSON.stringify({ from: "vm-1", evidence: [] }) },
      STATUS_FAILED,
    ],
    [
      "a forwarded request",
      "/book",
      { headers: { "limpetford-forwarded": "1" } },
      undefined,
    ],
  ])("ends only the call: %s", async (_name, ...[path, init, status]) => {
    expect(await send(path, init)).toBe(status);
    expect(exceptions).toHaveLength(1);
  });

  it("ends only a call whose message can't be encoded", async () => {
    const reply = await client.sendTokenRequest(
      { team: 1n } as unknown as Parameters<
        FleetCallClient["sendTokenRequest"]
      >[0],
      { to, timeoutMs: TIMEOUT_MS },
    );
    expect(reply.ok).toBe(false);
    expect(exceptions).toHaveLength(1);
  });
});
