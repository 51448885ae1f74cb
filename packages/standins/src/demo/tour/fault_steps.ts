/** Steps on gray servers, log outages, rate limits and stopping VMs. */

import { randomUUID } from "node:crypto";
import { setTimeout as wait } from "node:timers/promises";

import { buildBooking } from "../demo_booking.ts";
import type { DemoResponse } from "../demo_caller.ts";
import { formatResponse, sendOnce } from "../demo_caller.ts";
import type { DemoFleet } from "../demo_fleet.ts";
import { buildDemoKey } from "../demo_profile.ts";
import type { TourObservation } from "./tour_step.ts";
import { findPreferredVm, pickVm, TourStep, waitUntil } from "./tour_step.ts";

const DETECTION_TIMEOUT_MS = 3_000;
const ROUND_INTERVAL_MS = 100;
const REQUESTS_PER_ROUND = 20;
const RECOVERY_TIMEOUT_MS = 15_000;
const IN_FLIGHT_REQUESTS = 10;
const ARRIVAL_TIMEOUT_MS = 10_000;

/** Makes a server fail its requests while its health checks succeed. */
export class GrayServerStep extends TourStep {
  override readonly guarantee =
    "a server that fails requests but passes probes is ejected within 3 s";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const name = `${fleet.profile.service}-03`;
    const server = fleet.servers.get(name);
    if (server === undefined) {
      return {
        summary: "the service has no such backend server",
        isSatisfied: false,
      };
    }
    await sendReads(fleet, 20);
    server.setBehavior({ kind: "answer", status: 500, body: "broken" });
    await sendReads(fleet, DETECTION_TIMEOUT_MS / ROUND_INTERVAL_MS);
    const before = { own: server.runCount, all: fleet.countRuns() };
    const responses = await sendReads(fleet, 30);
    const own = server.runCount - before.own;
    const all = fleet.countRuns() - before.all;
    const successful = responses.filter((response) =>
      formatResponse(response) === "200"
    );
    server.setBehavior({ kind: "answer", body: '{"free":true}' });
    return {
      summary: `after 3 s it got ${own} of ${all} requests; callers got ` +
        `${successful.length} of ${responses.length} responses with 200`,
      isSatisfied: own <= all / 200 && successful.length === responses.length,
    };
  }
}

/** Drains a VM while it has requests in flight. */
export class GracefulDrainStep extends TourStep {
  override readonly guarantee =
    "a graceful shutdown interrupts no request in flight";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const vm = pickVm(fleet, 3);
    setResponseDelay(fleet, 1_000);
    const { readPath, largeTeam } = fleet.profile;
    const request = { path: readPath, key: buildDemoKey(largeTeam) };
    const before = fleet.countRuns();
    const pending = Array.from(
      { length: IN_FLIGHT_REQUESTS },
      () => sendOnce(vm.callerAddress, request),
    );
    const arrivedMs = await waitUntil(
      ARRIVAL_TIMEOUT_MS,
      () => fleet.countRuns() - before >= IN_FLIGHT_REQUESTS,
    );
    const startMs = performance.now();
    await fleet.drainVm(vm);
    const tookMs = Math.round(performance.now() - startMs);
    const responses = await Promise.all(pending);
    setResponseDelay(fleet, 5);
    await fleet.startVm(vm.number);
    const successful = responses.filter((response) =>
      formatResponse(response) === "200"
    );
    return {
      summary:
        `${successful.length} of ${responses.length} requests in flight got ` +
        `200 (${formatDistinct(responses)}); stopped after ${tookMs} ms`,
      isSatisfied: arrivedMs !== undefined &&
        successful.length === responses.length,
    };
  }
}

/** Sends bookings and retries while the log is unavailable. */
export class LogOutageStep extends TourStep {
  override readonly guarantee =
    "during a log outage, bookings still succeed and run once";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    fleet.platform.logFaults.isUnavailable = true;
    await wait(1_000);
    const ids = Array.from({ length: 5 }, () => randomUUID());
    const first: DemoResponse[] = [];
    const second: DemoResponse[] = [];
    for (const [index, id] of ids.entries()) {
      const booking = buildBooking(fleet.profile, id);
      first.push(await sendOnce(pickVm(fleet, index).callerAddress, booking));
      second.push(
        await sendOnce(pickVm(fleet, index + 1).callerAddress, booking),
      );
    }
    fleet.platform.logFaults.isUnavailable = false;
    const runs = ids.map((id) => fleet.countRunsOfKey(id));
    const successful = first.filter((response) =>
      formatResponse(response) === "200"
    );
    return {
      summary: `${successful.length} of ${ids.length} got 200; retries: ` +
        `${[...new Set(second.map(formatResponse))].join(", ")}; ` +
        `runs ${runs.join(" ")}`,
      isSatisfied: successful.length === ids.length &&
        runs.every((count) => count === 1),
    };
  }
}

/** Exceeds a team's rate limit through all VMs at once. */
export class RateLimitStep extends TourStep {
  override readonly guarantee =
    "all VMs together grant a team no more than its burst and rate";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const { configuration } = await fleet.readState();
    const { smallTeam, readPath } = fleet.profile;
    const team = configuration.teams.find((t) => String(t.id) === smallTeam);
    if (team === undefined) {
      return { summary: "no such team", isSatisfied: false };
    }
    const request = { path: readPath, key: buildDemoKey(smallTeam) };
    const startMs = performance.now();
    const responses: DemoResponse[] = [];
    for (let round = 0; round < 20; round++) {
      responses.push(
        ...await Promise.all(
          [...fleet.vms.values()].flatMap((vm) => [
            sendOnce(vm.callerAddress, request),
            sendOnce(vm.callerAddress, request),
          ]),
        ),
      );
      await wait(ROUND_INTERVAL_MS);
    }
    const tookS = (performance.now() - startMs) / 1_000;
    const maxGranted = team.burst + team.ratePerSecond * tookS;
    const granted = responses.filter((a) => formatResponse(a) === "200").length;
    const refused = responses.filter((a) =>
      formatResponse(a) === "429 not-run"
    );
    const withRetryAfter = refused.filter((a) =>
      a.kind === "answer" && a.retryAfter !== ""
    );
    return {
      summary:
        `${granted} of ${responses.length} granted in ${
          tookS.toFixed(1)
        } s, at most ${
          maxGranted.toFixed(1)
        }; ${withRetryAfter.length} refused with Retry-After ` +
        `(${formatDistinct(responses)})`,
      isSatisfied: granted <= maxGranted && granted > 0 &&
        granted + withRetryAfter.length === responses.length,
    };
  }
}

/** Crashes a shard holder while a booking is in flight. */
export class CrashedHolderStep extends TourStep {
  override readonly guarantee =
    "after a VM crash bookings still succeed, and none runs twice";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const id = randomUUID();
    const booking = buildBooking(fleet.profile, id);
    const holder = await findPreferredVm(fleet);
    setResponseDelay(fleet, 1_000);
    const interrupted = sendOnce(holder.callerAddress, booking);
    await wait(500);
    await fleet.stopVm(holder);
    const response = await interrupted;
    setResponseDelay(fleet, 5);
    const fresh = randomUUID();
    const freshBooking = buildBooking(fleet.profile, fresh);
    const tookMs = await waitUntil(RECOVERY_TIMEOUT_MS, async () => {
      const target = pickVm(fleet, 0).callerAddress;
      return formatResponse(await sendOnce(target, freshBooking)).startsWith(
        "200",
      );
    });
    const retry = await sendOnce(pickVm(fleet, 1).callerAddress, booking);
    const runs = [fleet.countRunsOfKey(id), fleet.countRunsOfKey(fresh)];
    await fleet.startVm(holder.number);
    return {
      summary: `interrupted booking: ${formatResponse(response)}, retry: ` +
        `${formatResponse(retry)}; new one after ${tookMs ?? "?"} ms; ` +
        `runs ${runs.join(" ")}`,
      isSatisfied: tookMs !== undefined && runs.join() === "1,1",
    };
  }
}

function formatDistinct(responses: readonly DemoResponse[]): string {
  return [...new Set(responses.map(formatResponse))].join(", ");
}

async function sendReads(
  fleet: DemoFleet,
  rounds: number,
): Promise<readonly DemoResponse[]> {
  const { readPath, largeTeam } = fleet.profile;
  const request = { path: readPath, key: buildDemoKey(largeTeam) };
  const pending: Promise<DemoResponse>[] = [];
  for (let round = 0; round < rounds; round++) {
    for (let index = 0; index < REQUESTS_PER_ROUND; index++) {
      pending.push(sendOnce(pickVm(fleet, index).callerAddress, request));
    }
    await wait(ROUND_INTERVAL_MS);
  }
  return await Promise.all(pending);
}

function setResponseDelay(fleet: DemoFleet, delayMs: number): void {
  for (const server of fleet.servers.values()) {
    server.setBehavior({ kind: "answer", body: '{"free":true}', delayMs });
  }
}
