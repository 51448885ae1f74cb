// Guards against retries that pile up while servers fail: more attempts than the
// route allows, or more repeats of all VMs together than the service's budget.

import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import { SERVER_BEHAVIOR } from "../platform/server_standin.ts";
import { buildBundle } from "./bundle.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import { sendMixedLoad } from "./mixed_load.ts";

const KEY = "key-of-dance";
const ZONES = [3, 3];
const SERVER_COUNT = 8;
const REQUEST_INTERVAL_MS = 10;
const RUN_MS = 12_000;
const MAX_ATTEMPTS = 2;
// The users' rule for any window, over all VMs, as in the settings of the fleet.
const WINDOW_MS = 10_000;
const BUDGET_RATIO = 0.2;
const BUDGET_SLACK = 60;

interface Arrival {
  readonly id: string;
  readonly atMs: number;
}

// Arrivals beyond the first of each request.
function listRepeats(arrivals: readonly Arrival[]): readonly number[] {
  const seen = new Set<string>();
  return arrivals.flatMap(({ id, atMs }) => {
    const isRepeat = seen.has(id);
    seen.add(id);
    return isRepeat ? [atMs] : [];
  });
}

function countInWindow(times: readonly number[], fromMs: number): number {
  return times.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
    .length;
}

describe("retries while servers fail", () => {
  let fleet: FleetProcesses;
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: SERVER_COUNT, zones: ZONES });
  });
  afterEach(async () => {
    await fleet.stop();
  });

  async function sendRequests(): Promise<readonly number[]> {
    const options = { forMs: RUN_MS, intervalMs: REQUEST_INTERVAL_MS };
    return await sendMixedLoad(fleet, options, async ({ vm, count }) => {
      const sentAtMs = Date.now();
      await fleet.send(vm, { path: `/read/${count}`, key: KEY });
      return sentAtMs;
    });
  }

  it.each([SERVER_BEHAVIOR.fail, SERVER_BEHAVIOR.shed, SERVER_BEHAVIOR.reset])(
    "stay within the route's attempts and the service's budget: %s",
    async (behavior) => {
      for (const server of fleet.servers) {
        server.behavior = behavior;
      }
      const sentAtMs = await sendRequests();
      const arrivals = fleet.servers.flatMap(({ received }) => received)
        .map(({ headers, receivedAtMs }) => ({
          id: String(headers[PROTOCOL_HEADER.requestId]),
          atMs: receivedAtMs,
        })).sort((a, b) => a.atMs - b.atMs);
      const attempts = new Map<string, number>();
      for (const { id } of arrivals) {
        attempts.set(id, (attempts.get(id) ?? 0) + 1);
      }
      expect(Math.max(...attempts.values())).toBeLessThanOrEqual(MAX_ATTEMPTS);

      const repeats = listRepeats(arrivals);
      expect(repeats.length).toBeGreaterThan(0);
      for (const fromMs of repeats) {
        const allowed = BUDGET_RATIO * countInWindow(sentAtMs, fromMs) +
          BUDGET_SLACK;
        expect(countInWindow(repeats, fromMs)).toBeLessThanOrEqual(allowed);
      }
    },
    60_000,
  );
});
