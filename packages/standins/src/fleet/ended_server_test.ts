import * as net from "node:net";

import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import type { RawResponse } from "../platform/raw_response.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { getVm } from "./fleet_lookup.ts";
import { CALLER_PORT, FleetProcesses } from "./fleet_processes.ts";
import {
  buildUnsizedResponse,
  FETCH_KEY,
  fetchResponse,
  type ReceivedResponse,
} from "./response_fetch.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const CALLERS = 10;
const PART = "x".repeat(9_000);
/** Time from the end of a server until it listens again, in milliseconds. */
const DOWN_MS = 700;

// Guards against the part of a server whose process ends midway: the kernel ends its
// connections in order and refuses new ones.
describe("a part of a response without a length", () => {
  let fleet: FleetProcesses;
  let vm: VmProcessHandle;
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: 3, zones: [1, 1] });
    vm = getVm(fleet);
  });
  afterEach(async () => {
    await fleet.stop();
  });

  // Each server ends at each request, and listens again after a while if `downMs` is
  // given.
  function setCrash(body: string, atCrash: () => void, downMs?: number): void {
    for (const [index, server] of fleet.servers.entries()) {
      server.chooseRawResponse = ({ headers }): RawResponse => {
        const link = fleet.serverLinks[index];
        link?.refuseNew();
        if (downMs !== undefined) {
          setTimeout(() => link?.setRefusing(false), downMs);
        }
        atCrash();
        const id = String(headers[PROTOCOL_HEADER.requestId]);
        return { bytes: buildUnsizedResponse(id, body), end: "close" };
      };
    }
  }

  async function fetchAll(options = {}): Promise<readonly ReceivedResponse[]> {
    return await Promise.all(
      Array.from(
        { length: CALLERS },
        (_, index) => fetchResponse(vm, `/read/${index}`, options),
      ),
    );
  }

  it("is no whole if the server is back when a paused VM goes on", async () => {
    let isStopped = false;
    setCrash(PART, () => {
      if (!isStopped) {
        isStopped = true;
        vm.sendSignal("SIGSTOP");
        setTimeout(() => {
          vm.sendSignal("SIGCONT");
        }, 1_500);
      }
    }, DOWN_MS);
    const responses = await fetchAll();
    expect(
      responses.filter(({ isComplete, status }) =>
        isComplete && status === 200
      ),
    ).toEqual([]);
  });

  it("is no whole if the server is back when a slow caller reads on", async () => {
    setCrash("x".repeat(5_400_000), () => undefined, DOWN_MS);
    const responses = await fetchAll({ stallMs: 1_500 });
    expect(
      responses.filter(({ isComplete, status }) =>
        isComplete && status === 200
      ),
    ).toEqual([]);
  });

  it("is no whole if all servers of the service end", async () => {
    setCrash(PART, () => undefined);
    const responses = [];
    for (let round = 0; round < 5; round++) {
      responses.push(...await fetchAll());
      await waitMs(50);
    }
    expect(
      responses.filter(({ isComplete, status }) =>
        isComplete && status === 200
      ),
    ).toEqual([]);
  });

  it("is no whole if two of three servers end (control)", async () => {
    setCrash(PART, () => undefined);
    const [, , third] = fleet.servers;
    if (third === undefined) {
      throw new Error("the fleet has too few servers");
    }
    third.chooseRawResponse = undefined;
    const responses = await fetchAll();
    expect(
      responses.filter(({ isComplete, status, bytes }) =>
        isComplete && status === 200 && bytes === PART.length
      ),
    ).toEqual([]);
  });

  it("is no whole if the server stays down and the VM pauses (control)", async () => {
    let isStopped = false;
    const [, ...others] = fleet.servers;
    setCrash(PART, () => {
      if (!isStopped) {
        isStopped = true;
        vm.sendSignal("SIGSTOP");
        setTimeout(() => {
          vm.sendSignal("SIGCONT");
        }, 1_500);
      }
    });
    others.forEach((server) => {
      server.chooseRawResponse = undefined;
    });
    const responses = await fetchAll();
    expect(
      responses.filter(({ isComplete, status, bytes }) =>
        isComplete && status === 200 && bytes === PART.length
      ),
    ).toEqual([]);
  });

  it.each(["", "request-id:ID\r\n", "request-id: ID \r\n"])(
    "ends where a second response follows it, with the header %j",
    async (header) => {
      for (const server of fleet.servers) {
        server.chooseRawResponse = ({ headers }): RawResponse => {
          const id = String(headers[PROTOCOL_HEADER.requestId]);
          const second = `HTTP/1.1 200 OK\r\n${header.replace("ID", id)}` +
            `${PROTOCOL_HEADER.signature}: s\r\n\r\n${PART}`;
          return {
            bytes: buildUnsizedResponse(id, PART) + second,
            end: "close",
          };
        };
      }
      const { status, bytes } = await fetchResponse(vm, "/read/twice");
      expect(status === 200 && bytes > PART.length).toBe(false);
    },
  );

  it.each(["2.0", "0.9"])(
    "to a caller of HTTP/%s shows that it is cut",
    async (version) => {
      for (const server of fleet.servers) {
        server.chooseRawResponse = ({ headers }): RawResponse => {
          const id = String(headers[PROTOCOL_HEADER.requestId]);
          return {
            bytes: buildUnsizedResponse(id, "x".repeat(300_000)),
            end: "none",
          };
        };
      }
      const text = await new Promise<string>((resolve) => {
        let received = "";
        const socket = net.connect({ host: vm.host, port: CALLER_PORT }, () => {
          socket.write(
            `GET /read/v HTTP/${version}\r\nhost: bands.example\r\n` +
              `${PROTOCOL_HEADER.callerKey}: ${FETCH_KEY}\r\n` +
              `${PROTOCOL_HEADER.requestId}: v\r\n\r\n`,
          );
        });
        socket.on("data", (chunk) => received += chunk.toString("latin1"));
        socket.once("data", () => {
          setTimeout(() => {
            vm.sendSignal("SIGKILL");
          }, 100);
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
          resolve(received);
        });
      });
      const head = text.split("\r\n\r\n")[0] ?? "";
      expect(head).toMatch(/^HTTP\/1\.1 /);
      expect(head.toLowerCase())
        .toMatch(/\r\n(content-length|transfer-encoding): /);
    },
  );
});
