import type { CallerResponse } from "../platform/caller_client.ts";
import { NOT_RUN_STATUSES } from "../platform/protocol_names.ts";
import {
  REPEATED_REFUSAL,
  type RepeatedRefusal,
} from "../platform/repeated_refusal.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { getVm } from "./fleet_lookup.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const KEY = "key-of-dance";
const STATUS_OK = 200;
const REQUEST_COUNT = 60;
/** Time between the copy of the refusal and the true answer. */
const PROCESSING_MS = 40;

const REPEATED = [
  REPEATED_REFUSAL.identified,
  REPEATED_REFUSAL.joined,
  REPEATED_REFUSAL.anonymous,
];

interface EndedRequest {
  readonly path: string;
  readonly response: CallerResponse;
}

// Guards against a copy of an earlier refusal that is taken for the answer to the
// next request on the same connection.
describe("a refusal that a server writes once more on a kept connection", () => {
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

  function countRuns(path: string): number {
    return fleet.servers.flatMap(({ received }) => received).filter((request) =>
      request.hasRun && request.target === path
    ).length;
  }

  // Every other request is refused where it is tried first, so that connections
  // which have carried a refusal are used again.
  async function sendThroughRefusals(
    form: RepeatedRefusal,
  ): Promise<readonly EndedRequest[]> {
    for (const server of fleet.servers) {
      let count = 0;
      server.repeatedRefusal = form;
      server.processingMs = PROCESSING_MS;
      server.chooseRetryAfter = (): string | undefined => {
        count += 1;
        return count % 2 === 1 ? "0" : undefined;
      };
    }
    const ended: EndedRequest[] = [];
    for (let index = 0; index < REQUEST_COUNT; index++) {
      const path = index % 2 === 0 ? `/book/${index}` : `/read/${index}`;
      const response = await fleet.send(vm, {
        path,
        key: KEY,
        ...index % 2 === 0 ? { method: "POST", body: "deposit" } : {},
      });
      ended.push({ path, response });
      await waitMs(10);
    }
    return ended;
  }

  it.each([...REPEATED, REPEATED_REFUSAL.stripped])(
    "is not taken for the answer to another request: %s",
    async (form) => {
      const ended = await sendThroughRefusals(form);
      const bookings = ended.filter(({ path }) => path.startsWith("/book/"));
      expect(bookings.filter(({ path }) => countRuns(path) > 1)).toEqual([]);
      const untrue = ended.filter(({ path, response }) =>
        NOT_RUN_STATUSES.includes(response.status) && countRuns(path) > 0
      );
      expect(untrue.map(({ path, response }) => [path, response.status]))
        .toEqual([]);
    },
  );

  it.each(REPEATED)(
    "does not keep the answer of what has run from the caller: %s",
    async (form) => {
      const ended = await sendThroughRefusals(form);
      const lost = ended.filter(({ path, response }) =>
        response.status !== STATUS_OK && countRuns(path) > 0
      );
      expect(lost.map(({ path, response }) => [path, response.status]))
        .toEqual([]);
    },
  );
});
