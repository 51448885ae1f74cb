/** Entry point of the worker threads: serves as a backend server or VM. */

import { readFileSync } from "node:fs";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { parentPort, workerData } from "node:worker_threads";

import type { SocketAddress } from "@limpetford/domain/vm";
import { SimpleIdempotencyLedger } from "@limpetford/entry/fakes/simple_idempotency_ledger";

import { ServingHarness } from "../serving/serving_harness.ts";
import type {
  ThreadReady,
  ThreadRole,
  ThreadTimes,
} from "./thread_messages.ts";

const RESPONSE_BODY = Buffer.from(
  JSON.stringify({ bands: ["a", "b"], free: true }),
);
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
const NS_PER_MS = 1_000_000;

/** Names one VM as the holder of every claim, so requests go there. */
class ForwardingLedger extends SimpleIdempotencyLedger {
  readonly #holder: SocketAddress;

  constructor(
    holder: SocketAddress,
    ...rest: ConstructorParameters<typeof SimpleIdempotencyLedger>
  ) {
    super(...rest);
    this.#holder = holder;
  }

  override findOtherHolder(): SocketAddress {
    return this.#holder;
  }
}

// `schedstat` gives the CPU time, then the time on the run queue, in ns.
function readThreadTimes(): ThreadTimes {
  const [cpuTimeNs, coreWaitNs] = readFileSync(
    "/proc/thread-self/schedstat",
    "utf8",
  ).split(" ");
  return {
    cpuTimeMs: Number(cpuTimeNs) / NS_PER_MS,
    coreWaitMs: Number(coreWaitNs) / NS_PER_MS,
  };
}

async function startBackend(): Promise<SocketAddress> {
  const server = http.createServer((request, response) => {
    request.resume();
    response.writeHead(200, [
      "content-type",
      "application/json",
      "content-length",
      String(RESPONSE_BODY.length),
    ]);
    response.end(RESPONSE_BODY);
  });
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  await new Promise<void>((resolve) => {
    server.listen({ host: "127.0.0.1", port: 0 }, resolve);
  });
  const { address, port } = server.address() as AddressInfo;
  return { host: address, port };
}

async function startVm(
  role: Extract<ThreadRole, { readonly kind: "vm" }>,
): Promise<SocketAddress> {
  const { backends, holder } = role;
  const harness = new ServingHarness({
    backendAddresses: backends,
    ...holder === undefined ? {} : {
      preparePorts: (ports) => ({
        ...ports,
        ledger: new ForwardingLedger(holder, ports.clock),
      }),
    },
  });
  await harness.start();
  return harness.address;
}

const role = workerData as ThreadRole;
const address = role.kind === "backend"
  ? await startBackend()
  : await startVm(role);
const ready: ThreadReady = { address };
parentPort?.postMessage(ready);
parentPort?.on("message", () => {
  parentPort?.postMessage(readThreadTimes());
});
