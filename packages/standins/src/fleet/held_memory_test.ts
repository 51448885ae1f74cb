import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import { SERVER_BEHAVIOR } from "../platform/server_standin.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { getVm } from "./fleet_lookup.ts";
import { CALLER_PORT, FleetProcesses } from "./fleet_processes.ts";
import { type HeldCaller, openHeldCallers } from "./held_callers.ts";
import { readDeployedFlags, readMetric, readPeakBytes } from "./vm_metrics.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const KEY = "key-of-dance";
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;
const REQUEST_COUNT = 8_000;
const USUAL_COUNT = 900;
/** Enough to run nearly all requests that the VM takes. */
const SERVER_COUNT = 60;
const SLOW_COUNT = 20;
const BODY_BYTES = 2_048;
const SLOW_ANSWER_BYTES = 12_000_000;
/** A slow answer fills the buffer before its caller's connection by two parts of 16 KB. */
const LEAST_UNSENT_BYTES = 32_768;
/** Requests must still be open when the last one has been sent. */
const ROUTE_TIMEOUT_SECONDS = 40;
const MS_PER_S = 1_000;
const CONFIGURATION_MS = 2_000;
/** Time for which the VM lives with all that it holds. */
const HOLD_MS = 4_000;
/** The platform asks for readiness once in this time. */
const CONTROL_TIMEOUT_MS = 1_000;
const CONTROL_INTERVAL_MS = 250;
const MEMORY_REFUSALS = 'memory_refusals_total{kind=""}';
/** Memory of a VM in the users' example of its settings. */
const MEMORY_BYTES = 350_000_000;
/** Requests that come while the VM holds all that it can. */
const LATE_COUNT = 20;
const LATE_INTERVAL_MS = 50;
/** Time within which a refusal comes at once. */
const AT_ONCE_MS = 500;
const TEST_TIMEOUT_MS = 90_000;

// Guards against a process that ends for want of memory because it takes every
// request, and against requests that it refuses although they are sent.
describe("a VM with more open requests than its memory holds", () => {
  let fleet: FleetProcesses;
  let callers: readonly HeldCaller[] = [];
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses({
      logLevel: "info",
      nodeFlags: readDeployedFlags(),
    });
    await fleet.start({ servers: SERVER_COUNT, zones: [2] });
    fleet.publishNextConfiguration({ timeoutSeconds: ROUTE_TIMEOUT_SECONDS });
    await waitMs(CONFIGURATION_MS);
  });
  afterEach(async () => {
    callers.forEach((caller) => {
      caller.close();
    });
    await fleet.stop();
  });

  function openCallers(
    vm: VmProcessHandle,
    kind: "slow" | "held",
    count: number,
  ): Promise<readonly HeldCaller[]> {
    const requests = Array.from({ length: count }, (_, index) => ({
      id: `${kind}-${index}`,
      path: kind === "slow" ? `/read/${index}` : `/book/${index}`,
      key: KEY,
      body: kind === "slow" ? "" : "b".repeat(BODY_BYTES),
      timeLeftMs: ROUTE_TIMEOUT_SECONDS * MS_PER_S,
      isSlow: kind === "slow",
    }));
    return openHeldCallers({ host: vm.host, port: CALLER_PORT }, requests);
  }

  // Slow callers are answered at once; all other requests stay at the servers.
  function startHolding(): void {
    const body = "s".repeat(SLOW_ANSWER_BYTES);
    for (const server of fleet.servers) {
      server.behavior = SERVER_BEHAVIOR.hang;
      server.chooseRawResponse = ({ target, headers }) =>
        target.startsWith("/read/")
          ? {
            bytes: `HTTP/1.1 200 OK\r\n${PROTOCOL_HEADER.signature}: s\r\n` +
              `${PROTOCOL_HEADER.requestId}: ` +
              `${String(headers[PROTOCOL_HEADER.requestId])}\r\n` +
              `content-length: ${body.length}\r\n\r\n${body}`,
            end: "close",
          }
          : undefined;
    }
  }

  // One after the other, as the VM is no longer busy with the others.
  async function sendLate(
    vm: VmProcessHandle,
  ): Promise<readonly HeldCaller[]> {
    const late: HeldCaller[] = [];
    for (let index = 0; index < LATE_COUNT; index++) {
      const [caller] = await openCallers(vm, "held", 1);
      if (caller !== undefined) {
        late.push(caller);
      }
      await waitMs(LATE_INTERVAL_MS);
    }
    await waitMs(AT_ONCE_MS);
    return late;
  }

  async function countControlFailures(vm: VmProcessHandle): Promise<number> {
    let failures = 0;
    const endAtMs = Date.now() + HOLD_MS;
    while (Date.now() < endAtMs) {
      const isInTime = await Promise.race([
        Promise.all([
          fleet.isReady(vm),
          fleet.resolveAddresses(vm, vm.zone),
        ]).then(([isReady, addresses]) => isReady && addresses.length > 0),
        waitMs(CONTROL_TIMEOUT_MS).then(() => false),
      ]);
      failures += isInTime ? 0 : 1;
      await waitMs(CONTROL_INTERVAL_MS);
    }
    return failures;
  }

  it("refuses none of hundreds", async () => {
    const vm = getVm(fleet);
    startHolding();
    callers = await openCallers(vm, "held", USUAL_COUNT);
    await fleet.waitUntil(() =>
      callers.some(({ status }) => status !== undefined) ||
      fleet.servers.reduce((sum, { received }) => sum + received.length, 0) >=
        USUAL_COUNT
    );
    expect(callers.filter(({ status }) => status !== undefined)).toEqual([]);
  }, TEST_TIMEOUT_MS);

  it("lives, refuses the rest truly and stays in control", async () => {
    const vm = getVm(fleet);
    const others = fleet.vms.filter((other) => other !== vm)
      .map((other) => ({ other, logLength: other.log.length }));
    startHolding();
    const slow = await openCallers(vm, "slow", SLOW_COUNT);
    await fleet.waitUntil(async () =>
      (await readMetric(vm, "held_bytes") ?? Infinity) >=
        SLOW_COUNT * LEAST_UNSENT_BYTES
    );
    const held = await openCallers(vm, "held", REQUEST_COUNT - SLOW_COUNT);
    callers = [...slow, ...held];
    let inFlight = 0;
    await fleet.waitUntil(async () => {
      const answered = held.filter(({ status }) => status !== undefined);
      inFlight = await readMetric(vm, "in_flight_requests") ?? inFlight;
      return !vm.isRunning() || answered.length + inFlight >= held.length;
    }, ROUTE_TIMEOUT_SECONDS * MS_PER_S);
    const failures = await countControlFailures(vm);
    const refusals = await readMetric(vm, MEMORY_REFUSALS);
    const late = await sendLate(vm);
    callers = [...callers, ...late];
    expect(
      late.filter(({ status, hasRetryAfter, answeredAfterMs }) =>
        status !== STATUS_UNAVAILABLE || !hasRetryAfter ||
        (answeredAfterMs ?? Infinity) > AT_ONCE_MS
      ).map(({ status, answeredAfterMs }) => ({ status, answeredAfterMs })),
    )
      .toEqual([]);

    expect({ end: describeEnd(vm), inFlight }).toEqual({
      end: undefined,
      inFlight,
    });
    const refused = held.filter(({ status }) => status !== undefined);
    expect(refused.length).toBeGreaterThan(0);
    expect(
      refused.filter(({ status, hasRetryAfter }) =>
        status !== STATUS_UNAVAILABLE || !hasRetryAfter
      ),
    ).toEqual([]);
    expect(held.filter((caller) => isLost(caller))).toEqual([]);
    const ran = new Set(
      fleet.servers.flatMap(({ received }) =>
        received.map(({ headers }) => headers[PROTOCOL_HEADER.requestId])
      ),
    );
    expect(refused.filter(({ request }) => ran.has(request.id))).toEqual([]);
    expect(failures).toBe(0);
    const logs = others.map(({ other, logLength }) =>
      other.log.slice(logLength)
    );
    expect(logs.filter((log) => log.includes("peer-lost"))).toEqual([]);
    expect(readPeakBytes(vm)).toBeLessThan(MEMORY_BYTES);
    expect(refusals).toBe(refused.length);
    const limitBytes = await readMetric(vm, "held_bytes_limit");
    expect(await readMetric(vm, "held_bytes")).toBeLessThanOrEqual(
      limitBytes ?? 0,
    );
    slow.forEach((caller) => {
      caller.read();
    });
    await fleet.waitUntil(() =>
      slow.every(({ receivedBytes, isClosed }) =>
        isClosed || receivedBytes > SLOW_ANSWER_BYTES
      )
    );
    expect(
      slow.map(({ status, receivedBytes }) => ({
        status,
        isWhole: receivedBytes > SLOW_ANSWER_BYTES,
      })),
    ).toEqual(slow.map(() => ({ status: STATUS_OK, isWhole: true })));
    callers.forEach((caller) => {
      caller.close();
    });
    await fleet.waitUntil(async () => await readMetric(vm, "held_bytes") === 0);
  }, TEST_TIMEOUT_MS);
});

function isLost(caller: HeldCaller): boolean {
  return caller.isClosed && caller.status === undefined;
}

function describeEnd(vm: VmProcessHandle): string | undefined {
  return vm.isRunning()
    ? undefined
    : /FATAL ERROR.*/.exec(vm.log)?.[0] ?? "ended";
}
