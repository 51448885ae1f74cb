import type { CallerResponse } from "../platform/caller_client.ts";
import {
  NOT_RUN_STATUSES,
  PROTOCOL_HEADER,
} from "../platform/protocol_names.ts";
import type { RawResponse } from "../platform/raw_response.ts";
import type { ReceivedRequest } from "../platform/server_standin.ts";
import { buildBundle } from "./bundle.ts";
import { getVm } from "./fleet_lookup.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const KEY = "key-of-dance";
const BODY = "seventeen letters";
const STATUS_OK = 200;
const CONCURRENT = 8;

interface HeadForm {
  readonly name: string;
  readonly lines: readonly string[];
  /** What follows the head. */
  readonly body: string;
}

const STATUS_LINE = "HTTP/1.1 200 OK";
const SIGNATURE_LINE = `${PROTOCOL_HEADER.signature}: s`;
const SIGNED = [STATUS_LINE, SIGNATURE_LINE];
const FORMS: readonly HeadForm[] = [
  {
    name: "a length",
    lines: [...SIGNED, `content-length: ${BODY.length}`],
    body: BODY,
  },
  {
    name: "a length before the signature",
    lines: [
      STATUS_LINE,
      `content-length: ${BODY.length}`,
      SIGNATURE_LINE,
    ],
    body: BODY,
  },
  {
    name: "chunks and trailers",
    lines: [...SIGNED, "transfer-encoding: chunked", "trailer: x-sum"],
    body: `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\nx-sum: 1\r\n\r\n`,
  },
  {
    name: "no length",
    lines: [...SIGNED, "connection: close"],
    body: BODY,
  },
];

// Guards against an answer whose head breaks off and which is taken for whole.
describe("an answer that breaks off within its head", () => {
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

  async function send(path: string): Promise<CallerResponse> {
    return await fleet.send(vm, {
      path,
      key: KEY,
      method: "POST",
      body: "deposit",
      id: path,
    });
  }

  // Sends one request for each answer, a few at a time.
  async function sendAll(
    answers: ReadonlyMap<string, RawResponse>,
  ): Promise<ReadonlyMap<string, CallerResponse>> {
    const choose = (received: ReceivedRequest): RawResponse | undefined =>
      answers.get(received.target);
    for (const server of fleet.servers) {
      server.chooseRawResponse = choose;
    }
    const paths = [...answers.keys()];
    const responses = new Map<string, CallerResponse>();
    const sendNext = async (): Promise<void> => {
      for (let path = paths.pop(); path !== undefined; path = paths.pop()) {
        responses.set(path, await send(path));
      }
    };
    await Promise.all(Array.from({ length: CONCURRENT }, sendNext));
    return responses;
  }

  function expectTruth(responses: ReadonlyMap<string, CallerResponse>): void {
    const untrue = [...responses].filter(([, { status }]) =>
      status === STATUS_OK || NOT_RUN_STATUSES.includes(status)
    );
    expect(
      untrue.map(([path, { status, body }]) => [path, status, body]),
    ).toEqual([]);
  }

  it.each(FORMS)("is delivered if it is whole: $name", async (form) => {
    const head = form.lines.map((line) => `${line}\r\n`).join("");
    const path = `/book/whole-${form.name.replaceAll(" ", "-")}`;
    const bytes = `${head}\r\n${form.body}`;
    const responses = await sendAll(new Map([[path, { bytes, end: "close" }]]));
    expect(responses.get(path)).toMatchObject({
      status: STATUS_OK,
      body: BODY,
    });
  });

  it.each(FORMS)("is not delivered as whole: $name", async (form) => {
    const head = form.lines.map((line) => `${line}\r\n`).join("");
    const answers = new Map<string, RawResponse>();
    for (let length = 0; length <= head.length; length++) {
      for (const end of ["close", "reset"] as const) {
        answers.set(
          `/book/${form.name.replaceAll(" ", "-")}-${length}-${end}`,
          {
            bytes: head.slice(0, length),
            end,
          },
        );
      }
    }
    expectTruth(await sendAll(answers));
  });

  it.each(FORMS)(
    "is not delivered with a line broken off: $name",
    async (form) => {
      const answers = new Map<string, RawResponse>();
      for (const [index, line] of form.lines.entries()) {
        const before = form.lines.slice(0, index).map((text) => `${text}\r\n`);
        for (let length = 0; length < line.length; length++) {
          answers.set(
            `/book/line-${form.name.replaceAll(" ", "-")}-${index}-${length}`,
            {
              bytes: `${before.join("")}${line.slice(0, length)}\r\n`,
              end: "close",
            },
          );
        }
      }
      expectTruth(await sendAll(answers));
    },
  );

  it.each(FORMS)(
    "is not delivered without its last lines: $name",
    async (form) => {
      const answers = new Map<string, RawResponse>();
      for (let count = 1; count < form.lines.length; count++) {
        const head = form.lines.slice(0, count).map((text) => `${text}\r\n`);
        for (const body of ["", form.body.slice(0, 5)]) {
          answers.set(
            `/book/lines-${
              form.name.replaceAll(" ", "-")
            }-${count}-${body.length}`,
            { bytes: `${head.join("")}\r\n${body}`, end: "close" },
          );
        }
      }
      const unsigned = new Map(
        [...await sendAll(answers)].filter(([path]) =>
          !(answers.get(path)?.bytes.includes(SIGNATURE_LINE) ?? false)
        ),
      );
      expectTruth(unsigned);
    },
  );
});
