/** Steps on partitions, broken responses and teams above their rate limit. */

import { randomUUID } from "node:crypto";
import { setTimeout as wait } from "node:timers/promises";

import type { BackendBehavior } from "../../backend/backend_behavior.ts";
import { buildBooking } from "../demo_booking.ts";
import type { DemoResponse } from "../demo_caller.ts";
import { formatResponse, sendOnce } from "../demo_caller.ts";
import type { DemoFleet } from "../demo_fleet.ts";
import { buildDemoKey } from "../demo_profile.ts";
import type { DemoVm } from "../demo_vm.ts";
import type { TourObservation } from "./tour_step.ts";
import { findPreferredVm, pickVm, TourStep, waitUntil } from "./tour_step.ts";

const TAKEOVER_TIMEOUT_MS = 15_000;
const OUTAGE_MS = 2_500;
const FLOOD_ROUNDS = 20;
const FLOOD_REQUESTS_PER_ROUND = 60;
const ROUND_INTERVAL_MS = 100;
const RECOVERY_TIMEOUT_MS = 10_000;

/**
 * Drops all requests from a shard holder to the other VMs, and sends bookings
 * through both sides of the partition.
 */
export class OneWayPartitionStep extends TourStep {
  override readonly guarantee: string =
    "in a one-way partition bookings get the correct outcome, none runs twice, " +
    "and the other VMs take over within 15 s";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const isolated = await findPreferredVm(fleet);
    const others = [...fleet.vms.values()].filter((vm) => vm !== isolated);
    isolated.linkFaults.dropRequestsTo(others.map((vm) => vm.peerAddress));
    const booked: RetriedBooking[] = [];
    const tookMs = await waitUntil(TAKEOVER_TIMEOUT_MS, async () => {
      const round = await Promise.all(
        others.map((vm) => sendTwice(fleet, vm, isolated)),
      );
      booked.push(...round);
      return round.every(({ first }) => formatResponse(first) === "200");
    });
    isolated.linkFaults.clear();
    const runs = booked.map(({ id }) => fleet.countRunsOfKey(id));
    const responses = booked.flatMap(({ first, retry }) => [first, retry]);
    const invalid = responses.filter((response) => !isValidOutcome(response));
    const notRun = booked.filter(({ id, first, retry }) =>
      fleet.countRunsOfKey(id) > 0 &&
      [first, retry].every((a) =>
        a.kind === "answer" && a.outcome === "not-run"
      )
    );
    return {
      summary: `${booked.length} bookings sent twice, ran at most ` +
        `${Math.max(...runs)} times; ${invalid.length + notRun.length} wrong ` +
        `outcomes; other VMs returned 200 after ${tookMs ?? "?"} ms`,
      isSatisfied: tookMs !== undefined && invalid.length === 0 &&
        notRun.length === 0 && runs.every((count) => count <= 1),
    };
  }
}

/** Repeats the partition right after an outage of the log. */
export class PartitionAfterOutageStep extends OneWayPartitionStep {
  override readonly guarantee =
    "bookings survive a one-way partition right after an outage of the log";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    fleet.platform.logFaults.isUnavailable = true;
    await wait(OUTAGE_MS);
    fleet.platform.logFaults.isUnavailable = false;
    return await super.run(fleet);
  }
}

/** Makes every server send invalid responses. */
export class BrokenResponseStep extends TourStep {
  override readonly guarantee =
    "a truncated or mismatched response is never forwarded as a success";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const { readPath, largeTeam } = fleet.profile;
    const key = buildDemoKey(largeTeam);
    const faults: readonly BackendBehavior[] = [
      { kind: "short-length" },
      { kind: "cut-chunked" },
      { kind: "reset-in-body" },
      { kind: "foreign-echo" },
    ];
    const results: string[] = [];
    for (const fault of faults) {
      setBehavior(fleet, fault);
      const path = `${readPath}&fault=${fault.kind}`;
      const vm = pickVm(fleet, 0).callerAddress;
      const response = await sendOnce(vm, { path, key });
      results.push(`${fault.kind}: ${formatResponse(response)}`);
    }
    setBehavior(fleet, { kind: "answer", body: '{"free":true}' });
    return {
      summary: results.join(", "),
      isSatisfied: results.every((line) => !line.includes(": 200")),
    };
  }
}

/** Repeats a read that failed while all servers reset their responses. */
export class RecoveredReadStep extends TourStep {
  override readonly guarantee =
    "a read that failed at faulty servers succeeds once they recover";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const { readPath, largeTeam } = fleet.profile;
    const request = {
      path: `${readPath}&fault=recovered`,
      key: buildDemoKey(largeTeam),
    };
    const vm = pickVm(fleet, 0).callerAddress;
    setBehavior(fleet, { kind: "reset-in-body" });
    const broken = await sendOnce(vm, request);
    setBehavior(fleet, { kind: "answer", body: '{"free":true}' });
    let last = "";
    const tookMs = await waitUntil(RECOVERY_TIMEOUT_MS, async () => {
      last = formatResponse(await sendOnce(vm, request));
      return last === "200";
    });
    return {
      summary: `${formatResponse(broken)}, then ${last} after ${
        tookMs ?? "?"
      } ms`,
      isSatisfied: tookMs !== undefined,
    };
  }
}

/** Has one team exceed its rate limit while another stays within its own. */
export class NoisyNeighborStep extends TourStep {
  override readonly guarantee =
    "a team within its rate limit is served while another far exceeds its own";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const { readPath, floodingTeam, smallTeam } = fleet.profile;
    const flood = { path: readPath, key: buildDemoKey(floodingTeam) };
    const small = { path: readPath, key: buildDemoKey(smallTeam) };
    await wait(2_000);
    const flooding: Promise<DemoResponse>[] = [];
    const serving: Promise<DemoResponse>[] = [];
    for (let round = 0; round < FLOOD_ROUNDS; round++) {
      for (let index = 0; index < FLOOD_REQUESTS_PER_ROUND; index++) {
        flooding.push(sendOnce(pickVm(fleet, index).callerAddress, flood));
      }
      serving.push(sendOnce(pickVm(fleet, round).callerAddress, small));
      await wait(ROUND_INTERVAL_MS);
    }
    const flooded = await Promise.all(flooding);
    const served = await Promise.all(serving);
    const refused = flooded.filter((a) => formatResponse(a) === "429 not-run");
    const successful = served.filter((a) => formatResponse(a) === "200");
    return {
      summary: `${successful.length} of ${served.length} served ` +
        `(${[...new Set(served.map(formatResponse))].join(", ")}); ` +
        "of the other team's " +
        `${flooded.length}, ${refused.length} refused`,
      isSatisfied: successful.length === served.length && refused.length > 0,
    };
  }
}

/** A booking sent twice, and both responses. */
interface RetriedBooking {
  readonly id: string;
  readonly first: DemoResponse;
  readonly retry: DemoResponse;
}

async function sendTwice(
  fleet: DemoFleet,
  vm: DemoVm,
  other: DemoVm,
): Promise<RetriedBooking> {
  const id = randomUUID();
  const booking = buildBooking(fleet.profile, id);
  const first = await sendOnce(vm.callerAddress, booking);
  const retry = await sendOnce(other.callerAddress, booking);
  return { id, first, retry };
}

function isValidOutcome(response: DemoResponse): boolean {
  return response.kind === "answer" && (response.status === 200 ||
    response.outcome === "not-run" || response.outcome === "unknown");
}

function setBehavior(fleet: DemoFleet, behavior: BackendBehavior): void {
  for (const server of fleet.servers.values()) {
    server.setBehavior(behavior);
  }
}
