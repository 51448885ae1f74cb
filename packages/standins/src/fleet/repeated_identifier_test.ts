import type { CallerResponse } from "../platform/caller_client.ts";
import { NOT_RUN_STATUSES } from "../platform/protocol_names.ts";
import { publishServer } from "../platform/published_records.ts";
import {
  REPEATED_REFUSAL,
  type RepeatedRefusal,
} from "../platform/repeated_refusal.ts";
import type { ServerStandin } from "../platform/server_standin.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { getVm } from "./fleet_lookup.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const KEY = "key-of-dance";
const STATUS_OK = 200;
const REQUEST_COUNT = 20;
/** Time between the copy of the refusal and the true answer. */
const PROCESSING_MS = 40;
const REQUESTS_BETWEEN = 12;
/** Identifier under which the server was announced before it started again. */
const FORMER_ID = "i-former";

const FORMS = [REPEATED_REFUSAL.identified, REPEATED_REFUSAL.joined];

interface EndedRequest {
  readonly path: string;
  readonly response: CallerResponse;
}

// Guards against the copy of a refusal that bears the identifier of a request which
// is under way again on the same connection: it was taken for the response.
describe("a refusal that a server writes once more when its request comes again", () => {
  let fleet: FleetProcesses;
  let vm: VmProcessHandle;
  let server: ServerStandin;
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: 1, zones: [1] });
    vm = getVm(fleet);
    const [first] = fleet.servers;
    if (first === undefined) {
      throw new Error("the fleet has no backend server");
    }
    server = first;
    server.processingMs = PROCESSING_MS;
  });
  afterEach(async () => {
    await fleet.stop();
  });

  function countRuns(path: string): number {
    return server.received.filter((request) =>
      request.hasRun && request.target === path
    ).length;
  }

  async function sendBooking(path: string): Promise<EndedRequest> {
    const response = await fleet.send(vm, {
      path,
      key: KEY,
      method: "POST",
      body: "deposit",
      id: `id-of-${path}`,
    });
    return { path, response };
  }

  // What has run has run once, and its caller has the response.
  function expectTrueResponses(ended: readonly EndedRequest[]): void {
    const untrue = ended.filter(({ path, response }) =>
      countRuns(path) > 0 &&
      (NOT_RUN_STATUSES.includes(response.status) || countRuns(path) > 1)
    );
    expect(untrue.map(({ path, response }) => [path, response.status]))
      .toEqual([]);
    const lost = ended.filter(({ path, response }) =>
      countRuns(path) > 0 && response.status !== STATUS_OK
    );
    expect(lost.map(({ path, response }) => [path, response.status]))
      .toEqual([]);
  }

  // Each booking is refused when it comes for the first time.
  function setRefusals(form: RepeatedRefusal): void {
    server.repeatedRefusal = form;
    const known = new Set<string>();
    server.chooseRetryAfter = (target): string | undefined => {
      const isKnown = known.has(target) || !target.startsWith("/book/");
      known.add(target);
      return isKnown ? undefined : "0";
    };
  }

  it.each(FORMS)(
    "is not taken for the response if its caller sends it again: %s",
    async (form) => {
      setRefusals(form);
      const ended: EndedRequest[] = [];
      for (let index = 0; index < REQUEST_COUNT; index++) {
        const path = `/book/${index}`;
        await sendBooking(path);
        ended.push(await sendBooking(path));
        await waitMs(10);
      }
      expect(ended.filter(({ path }) => countRuns(path) > 0).length)
        .toBe(REQUEST_COUNT);
      expectTrueResponses(ended);
    },
  );

  it("is not taken for the response if many requests lie between", async () => {
    setRefusals(REPEATED_REFUSAL.identified);
    const ended: EndedRequest[] = [];
    for (let index = 0; index < 3; index++) {
      const path = `/book/${index}`;
      server.repeatedRefusal = REPEATED_REFUSAL.none;
      await sendBooking(path);
      for (let between = 0; between < REQUESTS_BETWEEN; between++) {
        await fleet.send(vm, { path: `/read/${index}-${between}`, key: KEY });
      }
      server.repeatedRefusal = REPEATED_REFUSAL.identified;
      ended.push(await sendBooking(path));
    }
    expectTrueResponses(ended);
  });

  it.each(FORMS)(
    "is not taken for the response of a server with two identifiers: %s",
    async (form) => {
      server.repeatedRefusal = form;
      const [link] = fleet.serverLinks;
      if (link === undefined) {
        throw new Error("the backend server has no link");
      }
      publishServer(fleet.store, {
        id: FORMER_ID,
        address: link.address,
        isLeaving: false,
        sequence: 1,
      });
      await waitMs(500);
      const ended: EndedRequest[] = [];
      for (let index = 0; index < REQUEST_COUNT; index++) {
        ended.push(await sendBooking(`/book/${index}`));
        await waitMs(10);
      }
      expect(server.received.some(({ hasRun }) => !hasRun)).toBe(true);
      expectTrueResponses(ended);
    },
  );
});
