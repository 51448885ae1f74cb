import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import { SERVER_BEHAVIOR } from "../platform/server_standin.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { getVm } from "./fleet_lookup.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const KEY = "key-of-dance";
const STATUS_BAD_GATEWAY = 502;
const STATUS_GATEWAY_TIMEOUT = 504;
const TIMEOUT_MS = 1_500;
/** Time after its timeout within which a request is answered. */
const MAX_LATE_MS = 500;
/** Lets the spoilt answer arrive shortly before the timeout. */
const BEFORE_SPOILT_MS = 900;
const WAITING_REQUESTS = 6;

/** Status lines and heads that no server may send, each of them parsed somewhere. */
const SPOILT_HEADS: readonly string[] = [
  "HTTP/1.1 000 ",
  "HTTP/1.1 099 None",
  "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade",
  "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked",
  "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 6",
  "HTTP/1.1 204 No Content\r\ncontent-length: 5",
];

// Guards against a VM that stands still for seconds because of one spoilt answer.
describe("an answer with a head that no server may send", () => {
  let fleet: FleetProcesses;
  let vm: VmProcessHandle;
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: 4, zones: [1] });
    vm = getVm(fleet);
  });
  afterEach(async () => {
    await fleet.stop();
  });

  async function measureBookingMs(index: number): Promise<number> {
    const startedAtMs = Date.now();
    const { status } = await fleet.send(vm, {
      path: `/book/${index}`,
      key: KEY,
      method: "POST",
      body: "deposit",
      timeLeftMs: TIMEOUT_MS,
    });
    expect(status).toBe(STATUS_GATEWAY_TIMEOUT);
    return Date.now() - startedAtMs;
  }

  it.each(SPOILT_HEADS)("holds up no other request: %j", async (head) => {
    for (const server of fleet.servers) {
      server.behavior = SERVER_BEHAVIOR.hang;
      server.chooseRawResponse = ({ target, headers }) =>
        target === "/read/spoilt"
          ? {
            bytes: `${head}\r\n${PROTOCOL_HEADER.requestId}: ${
              String(headers[PROTOCOL_HEADER.requestId])
            }\r\n\r\nspoilt`,
            end: "close",
          }
          : undefined;
    }
    const waiting = Array.from(
      { length: WAITING_REQUESTS },
      (_, index) => measureBookingMs(index),
    );
    await waitMs(BEFORE_SPOILT_MS);
    void fleet.send(vm, { path: "/read/spoilt", key: KEY });
    for (const durationMs of await Promise.all(waiting)) {
      expect(durationMs).toBeLessThan(TIMEOUT_MS + MAX_LATE_MS);
    }
  });

  it.each(["000", "001", "099", "600", "700", "999"])(
    "is no answer to a caller: status %s",
    async (status) => {
      for (const server of fleet.servers) {
        server.chooseRawResponse = ({ headers }) => ({
          bytes:
            `HTTP/1.1 ${status} Odd\r\n${PROTOCOL_HEADER.signature}: s\r\n` +
            `${PROTOCOL_HEADER.requestId}: ${
              String(headers[PROTOCOL_HEADER.requestId])
            }\r\ncontent-length: 4\r\n\r\nbody`,
          end: "none",
        });
      }
      const request = { path: "/book/1", key: KEY, method: "POST", body: "b" };
      const answers = await Promise.all([
        fleet.send(vm, { path: "/read/1", key: KEY }),
        fleet.send(vm, request),
      ]);
      expect(answers.map((answer) => answer.status))
        .toEqual([STATUS_BAD_GATEWAY, STATUS_BAD_GATEWAY]);
      const bookings = fleet.servers.flatMap(({ received }) =>
        received.filter(({ target }) => target === request.path)
      );
      expect(bookings).toHaveLength(1);
    },
  );
});
