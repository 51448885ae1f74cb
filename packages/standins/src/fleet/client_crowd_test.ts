import { readdirSync } from "node:fs";
import type { IncomingHttpHeaders } from "node:http";
import { deflateRawSync } from "node:zlib";

import { COMPRESSED_ENCODING } from "@limpetford/peer/message_codec";

import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import type { RawResponse } from "../platform/raw_response.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { ClientCrowd, type CrowdBytes } from "./client_crowd.ts";
import { getVm } from "./fleet_lookup.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import { readDeployedFlags, readPeakBytes } from "./vm_metrics.ts";
import { VM_PORTS } from "./vm_ports.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const KEY = "key-of-dance";
const STATUS_OK = 200;
interface CrowdSize {
  readonly heapMegabytes: number;
  readonly memoryBytes: number;
  readonly connections: number;
  readonly descriptors: number;
}

/** The heap of the deploy file, the users' smallest machine and the crowd of a trial. */
const FULL_SIZE: CrowdSize = {
  heapMegabytes: 64,
  memoryBytes: 250_000_000,
  connections: 300,
  descriptors: 3_900,
};
/** Half of the heap and of the memory, and as many descriptors for a connection. */
const SMALL_SIZE: CrowdSize = {
  heapMegabytes: 32,
  memoryBytes: 125_000_000,
  connections: 40,
  descriptors: 520,
};
// By hand, apart from other load: CROWD_SIZE=full npx jest --runInBand client_crowd
const SIZE = process.env["CROWD_SIZE"] === "full" ? FULL_SIZE : SMALL_SIZE;
const HEAP_FLAG = `--max-old-space-size=${SIZE.heapMegabytes}`;
/** One in so many ends what it sends. */
const WHOLE_EVERY = 8;
/** Time for which the crowd sends before an ordinary caller comes. */
const PRESS_MS = 4_000;
const ANSWER_MS = 30_000;
const TEST_TIMEOUT_MS = 90_000;
const BODY_LIMIT_BYTES = 1_048_576;
const BLOCK_BYTES = 65_536;
const LARGE_PATH = "/read/large";
const LARGE_ANSWER = "a".repeat(200_000);
/** Descriptors of a VM in the test of too many connections, and these. */
const FEW_DESCRIPTORS = 200;
const MANY_CONNECTIONS = 400;
const CHUNKED_POST = "transfer-encoding: chunked\r\n\r\n";

const ALL_HEADERS =
  `host: bands.example\r\n${PROTOCOL_HEADER.requestId}: r\r\n` +
  `${PROTOCOL_HEADER.timeLeftMs}: 3000\r\n` +
  `${PROTOCOL_HEADER.callerKey}: ${KEY}\r\n`;
const HOST_ONLY = "host: bands.example\r\n";

interface CrowdCase {
  readonly name: string;
  readonly port: number;
  readonly buildBytes: (index: number) => CrowdBytes;
}

function buildBlock(text: string): string {
  return text.repeat(Math.ceil(BLOCK_BYTES / text.length));
}

// Stops just short of the longest body, but for one in some.
function sendChunks(head: string, size: number): CrowdCase["buildBytes"] {
  const chunk = `${size.toString(16)}\r\n${"x".repeat(size)}\r\n`;
  const repeated = buildBlock(chunk);
  const bodyBytes = size * (repeated.length / chunk.length);
  return (index) => ({
    head: head + CHUNKED_POST,
    repeated,
    maxRepeats: Math.floor((BODY_LIMIT_BYTES - 1) / bodyBytes),
    end: index % WHOLE_EVERY === 0 ? "0\r\n\r\n" : "",
  });
}

function sendAhead(request: string): CrowdCase["buildBytes"] {
  return () => ({ repeated: buildBlock(request) });
}

function sendEndless(head: string, repeated: string): CrowdCase["buildBytes"] {
  return () => ({ head, repeated: buildBlock(repeated) });
}

function buildObjects(bytes: number): string {
  return `[${"{},".repeat(bytes / 3)}{}]`;
}

function buildCall(body: string, headers = ""): string {
  return `POST /exchange HTTP/1.1\r\n${headers}` +
    `content-length: ${body.length}\r\n\r\n${body}`;
}

const POST = "POST /book/1 HTTP/1.1\r\n";
const GET = "GET /read/1 HTTP/1.1\r\n";
const READINESS = "/readiness HTTP/1.1\r\n";
const CASES: readonly CrowdCase[] = [
  {
    name: "bodies in chunks of 64 KiB",
    port: VM_PORTS.caller,
    buildBytes: sendChunks(POST + ALL_HEADERS, BLOCK_BYTES),
  },
  {
    name: "bodies in chunks of 1,000 bytes",
    port: VM_PORTS.caller,
    buildBytes: sendChunks(POST + ALL_HEADERS, 1_000),
  },
  {
    name: "bodies in chunks of 1 byte",
    port: VM_PORTS.caller,
    buildBytes: sendChunks(POST + ALL_HEADERS, 1),
  },
  {
    name: "bodies in chunks of 1 byte, without the usual headers",
    port: VM_PORTS.caller,
    buildBytes: sendChunks(POST + HOST_ONLY, 1),
  },
  {
    name: "GET sent ahead with the host alone",
    port: VM_PORTS.caller,
    buildBytes: sendAhead(`${GET}${HOST_ONLY}\r\n`),
  },
  {
    name: "GET sent ahead without any header",
    port: VM_PORTS.caller,
    buildBytes: sendAhead(`${GET}\r\n`),
  },
  {
    name: "GET sent ahead with all headers",
    port: VM_PORTS.caller,
    buildBytes: sendAhead(`${GET}${ALL_HEADERS}\r\n`),
  },
  {
    name: "GET sent ahead with all headers, for large answers",
    port: VM_PORTS.caller,
    buildBytes: sendAhead(`GET ${LARGE_PATH} HTTP/1.1\r\n${ALL_HEADERS}\r\n`),
  },
  {
    name: "POST of 3 bytes sent ahead with the host alone",
    port: VM_PORTS.caller,
    buildBytes: sendAhead(`${POST}${HOST_ONLY}content-length: 3\r\n\r\nabc`),
  },
  {
    name: "chunked POST of 1 byte sent ahead with all headers",
    port: VM_PORTS.caller,
    buildBytes: sendAhead(
      `${POST}${ALL_HEADERS}${CHUNKED_POST}1\r\nx\r\n0\r\n\r\n`,
    ),
  },
  {
    name: "readiness sent ahead at the callers' address",
    port: VM_PORTS.caller,
    buildBytes: sendAhead(`GET ${READINESS}\r\n`),
  },
  {
    name: "readiness sent ahead at the address of readiness",
    port: VM_PORTS.ready,
    buildBytes: sendAhead(`GET ${READINESS}\r\n`),
  },
  {
    name: "readiness with a body in chunks of 1 byte",
    port: VM_PORTS.ready,
    buildBytes: sendChunks(`POST ${READINESS}${HOST_ONLY}`, 1),
  },
  {
    name: "resolutions sent ahead",
    port: VM_PORTS.directory,
    buildBytes: sendAhead(
      "GET /resolution?name=bands.example&region=r&zone=zone-0 HTTP/1.1\r\n\r\n",
    ),
  },
  {
    name: "scrapes sent ahead",
    port: VM_PORTS.metrics,
    buildBytes: sendAhead(`GET /metrics HTTP/1.1\r\n${HOST_ONLY}\r\n`),
  },
  {
    name: "calls of other VMs sent ahead",
    port: VM_PORTS.peer,
    buildBytes: sendAhead("GET / HTTP/1.1\r\n\r\n"),
  },
  {
    name: "a call of another VM without end",
    port: VM_PORTS.peer,
    buildBytes: sendEndless(
      `POST /exchange HTTP/1.1\r\n${CHUNKED_POST}`,
      `10000\r\n${"x".repeat(BLOCK_BYTES)}\r\n`,
    ),
  },
  {
    name: "calls of other VMs with many objects",
    port: VM_PORTS.peer,
    buildBytes: () => ({ repeated: buildCall(buildObjects(1_500_000)) }),
  },
  {
    name: "calls of other VMs with many objects, compressed",
    port: VM_PORTS.peer,
    buildBytes: () => ({
      repeated: buildCall(
        deflateRawSync(buildObjects(40_000_000)).toString("latin1"),
        `content-encoding: ${COMPRESSED_ENCODING}\r\n`,
      ),
    }),
  },
  {
    name: "heads of short lines without end",
    port: VM_PORTS.caller,
    buildBytes: sendEndless(GET, "a: b\r\n"),
  },
  {
    name: "trailers without end",
    port: VM_PORTS.caller,
    buildBytes: sendEndless(
      `${POST}${ALL_HEADERS}${CHUNKED_POST}1\r\nx\r\n0\r\n`,
      "a: b\r\n",
    ),
  },
  {
    name: "chunk extensions without end",
    port: VM_PORTS.caller,
    buildBytes: sendEndless(
      `${POST}${ALL_HEADERS}${CHUNKED_POST}1`,
      ";a=b",
    ),
  },
];

function buildLargeResponse(headers: IncomingHttpHeaders): RawResponse {
  const id = String(headers[PROTOCOL_HEADER.requestId]);
  return {
    bytes: `HTTP/1.1 200 OK\r\n${PROTOCOL_HEADER.signature}: s\r\n` +
      `${PROTOCOL_HEADER.requestId}: ${id}\r\n` +
      `content-length: ${LARGE_ANSWER.length}\r\n\r\n${LARGE_ANSWER}`,
    end: "close",
  };
}

function countDescriptors(vm: VmProcessHandle): number {
  return readdirSync(`/proc/${vm.processId}/fd`).length;
}

// Guards against a process that ends, or serves nobody else, because of clients that
// keep to no limit.
describe("a crowd that sends and never reads", () => {
  const crowd = new ClientCrowd();
  let fleet: FleetProcesses;
  beforeAll(() => {
    buildBundle();
  });
  async function startVm(maxDescriptors?: number): Promise<VmProcessHandle> {
    fleet = new FleetProcesses({
      logLevel: "info",
      nodeFlags: readDeployedFlags().map((flag) =>
        flag.startsWith("--max-old-space-size=") ? HEAP_FLAG : flag
      ),
      maxDescriptors,
    });
    await fleet.start({ servers: 4, zones: [1] });
    for (const server of fleet.servers) {
      server.chooseRawResponse = ({ target, headers }) =>
        target === LARGE_PATH ? buildLargeResponse(headers) : undefined;
    }
    return getVm(fleet);
  }

  afterEach(async () => {
    crowd.stop();
    await fleet.stop();
  });

  async function isServed(vm: VmProcessHandle): Promise<boolean> {
    const { status } = await fleet.send(vm, { path: "/read/o", key: KEY });
    return status === STATUS_OK && await fleet.isReady(vm);
  }

  async function expectServed(vm: VmProcessHandle): Promise<void> {
    await fleet.waitUntil(
      async () => !vm.isRunning() || await isServed(vm),
      ANSWER_MS,
    );
    expect({ isRunning: vm.isRunning(), log: vm.log.match(/FATAL.*/g) })
      .toEqual({ isRunning: true, log: null });
  }

  it.each(CASES)(
    "leaves a VM alive that serves others: $name",
    async ({ port, buildBytes }) => {
      const vm = await startVm();
      await crowd.start({ host: vm.host, port }, SIZE.connections, buildBytes);
      await waitMs(PRESS_MS);
      await expectServed(vm);
      expect(countDescriptors(vm)).toBeLessThan(SIZE.descriptors);
      crowd.stop();
      await expectServed(vm);
      expect(readPeakBytes(vm)).toBeLessThan(SIZE.memoryBytes);
    },
    TEST_TIMEOUT_MS,
  );

  it.each([
    ["nothing", ""],
    ["a part of a head", GET],
    ["a request whose answer is not read", `${GET}${ALL_HEADERS}\r\n`],
  ])(
    "leaves a VM alive that serves others: more connections than it has descriptors, with %s",
    async (_name, head) => {
      const vm = await startVm(FEW_DESCRIPTORS);
      const address = { host: vm.host, port: VM_PORTS.caller };
      await crowd.start(address, MANY_CONNECTIONS, () => ({ head }));
      await waitMs(PRESS_MS);
      await expectServed(vm);
      crowd.stop();
      await expectServed(vm);
      expect(readPeakBytes(vm)).toBeLessThan(SIZE.memoryBytes);
    },
    TEST_TIMEOUT_MS,
  );
});
