import type { CallerResponse } from "../platform/caller_client.ts";
import {
  NOT_RUN_STATUSES,
  PROTOCOL_HEADER,
} from "../platform/protocol_names.ts";
import type { RawResponse } from "../platform/raw_response.ts";
import { buildBundle } from "./bundle.ts";
import { getVm } from "./fleet_lookup.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const KEY = "key-of-dance";
/** Of these, a server shows by a header that it has not run the request. */
const UNPROVEN_STATUSES = [408, 429, 503];
const REQUESTS = 5;

const SIGNATURE_LINE = `${PROTOCOL_HEADER.signature}: s\r\n`;
const FORMS = UNPROVEN_STATUSES.flatMap((status) => [
  { status, name: "signed", lines: SIGNATURE_LINE },
  { status, name: "not signed", lines: "" },
]);

// Guards against a status that promises "not run" for a request that has run: its
// server did not say so, and the promise would be this VM's.
describe("a refusal of a server that does not say that the request was not run", () => {
  let fleet: FleetProcesses;
  let vm: VmProcessHandle;
  beforeAll(async () => {
    buildBundle();
    fleet = new FleetProcesses({ logLevel: "error" });
    await fleet.start({ servers: 2, zones: [1] });
    vm = getVm(fleet);
  });
  afterAll(async () => {
    await fleet.stop();
  });

  // Returns the responses to those requests that a server has run.
  async function sendThrough(
    method: string,
    buildResponse: (id: string) => RawResponse,
  ): Promise<readonly CallerResponse[]> {
    const ran = new Set<string>();
    for (const server of fleet.servers) {
      server.chooseRawResponse = ({ target, headers }) => {
        ran.add(target);
        return buildResponse(String(headers[PROTOCOL_HEADER.requestId]));
      };
    }
    const paths = Array.from(
      { length: REQUESTS },
      (_, index) => `/${method === "POST" ? "book" : "read"}/${index}`,
    );
    const responses = await Promise.all(paths.map((path) =>
      fleet.send(vm, {
        path,
        key: KEY,
        method,
        ...method === "POST" ? { body: "deposit" } : {},
      })
    ));
    const ofRuns = responses.filter((_, index) => ran.has(paths[index] ?? ""));
    expect(ofRuns.length).toBeGreaterThan(0);
    return ofRuns;
  }

  it.each(FORMS)(
    "is not passed on as a promise: $status, $name",
    async ({ status, lines }) => {
      for (const method of ["POST", "GET"]) {
        const responses = await sendThrough(method, (id) => ({
          bytes: `HTTP/1.1 ${status} X\r\nrequest-id: ${id}\r\n${lines}` +
            "content-length: 0\r\n\r\n",
          end: "close",
        }));
        const promised = responses.filter((response) =>
          NOT_RUN_STATUSES.includes(response.status)
        );
        expect(promised).toEqual([]);
      }
    },
  );
});
