/** Steps on cut links, broken answers and teams that send too much. */

import { randomUUID } from "node:crypto";
import { setTimeout as wait } from "node:timers/promises";

import type { BackendBehavior } from "../../backend/backend_behavior.ts";
import { buildBooking } from "../demo_booking.ts";
import type { DemoAnswer } from "../demo_caller.ts";
import { formatAnswer, sendOnce } from "../demo_caller.ts";
import type { DemoFleet } from "../demo_fleet.ts";
import { buildDemoKey } from "../demo_profile.ts";
import type { DemoVm } from "../demo_vm.ts";
import type { TourObservation } from "./tour_step.ts";
import { findFirstEntry, pickVm, TourStep, waitUntil } from "./tour_step.ts";

const TAKEOVER_MS = 15_000;
const OUTAGE_MS = 2_500;
const FLOOD_ROUNDS = 20;
const FLOOD_PER_ROUND = 60;
const ROUND_MS = 100;
const RECOVERY_MS = 10_000;

/** Cuts what the holder sends to all others, and books all the while. */
export class OneWayCutStep extends TourStep {
  override readonly promise: string =
    "with a one-way cut bookings get true answers, none runs twice, and the " +
    "other VMs go on within 15 s";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const cut = await findFirstEntry(fleet);
    const others = [...fleet.vms.values()].filter((vm) => vm !== cut);
    cut.linkFaults.dropRequestsTo(others.map((vm) => vm.peerAddress));
    const booked: BookedPair[] = [];
    const tookMs = await waitUntil(TAKEOVER_MS, async () => {
      const round = await Promise.all(
        others.map((vm) => sendTwice(fleet, vm, cut)),
      );
      booked.push(...round);
      return round.every(({ first }) => formatAnswer(first) === "200");
    });
    cut.linkFaults.clear();
    const runs = booked.map(({ id }) => fleet.countRunsOfKey(id));
    const answers = booked.flatMap(({ first, again }) => [first, again]);
    const untrue = answers.filter((answer) => !isTrueAnswer(answer));
    const notRun = booked.filter(({ id, first, again }) =>
      fleet.countRunsOfKey(id) > 0 &&
      [first, again].every((a) =>
        a.kind === "answer" && a.outcome === "not-run"
      )
    );
    return {
      seen: `${booked.length} bookings sent twice, ran at most ` +
        `${Math.max(...runs)} times; ${untrue.length + notRun.length} untrue ` +
        `answers; others answered 200 after ${tookMs ?? "?"} ms`,
      isKept: tookMs !== undefined && untrue.length === 0 &&
        notRun.length === 0 && runs.every((count) => count <= 1),
    };
  }
}

/** The same when the log has just come back after an outage. */
export class CutAfterOutageStep extends OneWayCutStep {
  override readonly promise = "the same holds right after an outage of the log";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    fleet.platform.logFaults.isUnavailable = true;
    await wait(OUTAGE_MS);
    fleet.platform.logFaults.isUnavailable = false;
    return await super.run(fleet);
  }
}

/** Lets every server break its answers. */
export class BrokenAnswerStep extends TourStep {
  override readonly promise =
    "an answer that breaks off is never passed on as whole";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const { readPath, largeTeam } = fleet.profile;
    const key = buildDemoKey(largeTeam);
    const faults: readonly BackendBehavior[] = [
      { kind: "short-length" },
      { kind: "cut-chunked" },
      { kind: "reset-in-body" },
      { kind: "foreign-echo" },
    ];
    const seen: string[] = [];
    for (const fault of faults) {
      setBehavior(fleet, fault);
      const path = `${readPath}&fault=${fault.kind}`;
      const vm = pickVm(fleet, 0).callerAddress;
      const answer = await sendOnce(vm, { path, key });
      seen.push(`${fault.kind}: ${formatAnswer(answer)}`);
    }
    setBehavior(fleet, { kind: "answer", body: '{"free":true}' });
    return {
      seen: seen.join(", "),
      isKept: seen.every((line) => !line.includes(": 200")),
    };
  }
}

/** Reads again what could not be read while all servers broke answers. */
export class RecoveredReadStep extends TourStep {
  override readonly promise =
    "a read that failed at broken servers works again once they are well";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const { readPath, largeTeam } = fleet.profile;
    const call = {
      path: `${readPath}&fault=recovered`,
      key: buildDemoKey(largeTeam),
    };
    const vm = pickVm(fleet, 0).callerAddress;
    setBehavior(fleet, { kind: "reset-in-body" });
    const broken = await sendOnce(vm, call);
    setBehavior(fleet, { kind: "answer", body: '{"free":true}' });
    let last = "";
    const tookMs = await waitUntil(RECOVERY_MS, async () => {
      last = formatAnswer(await sendOnce(vm, call));
      return last === "200";
    });
    return {
      seen: `${formatAnswer(broken)}, then ${last} after ${tookMs ?? "?"} ms`,
      isKept: tookMs !== undefined,
    };
  }
}

/** Lets one team send several times its rate while another is within its. */
export class CrowdingStep extends TourStep {
  override readonly promise =
    "a team within its rate is served while another sends far too much";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const { readPath, floodingTeam, smallTeam } = fleet.profile;
    const flood = { path: readPath, key: buildDemoKey(floodingTeam) };
    const small = { path: readPath, key: buildDemoKey(smallTeam) };
    await wait(2_000);
    const flooding: Promise<DemoAnswer>[] = [];
    const serving: Promise<DemoAnswer>[] = [];
    for (let round = 0; round < FLOOD_ROUNDS; round++) {
      for (let index = 0; index < FLOOD_PER_ROUND; index++) {
        flooding.push(sendOnce(pickVm(fleet, index).callerAddress, flood));
      }
      serving.push(sendOnce(pickVm(fleet, round).callerAddress, small));
      await wait(ROUND_MS);
    }
    const flooded = await Promise.all(flooding);
    const served = await Promise.all(serving);
    const refused = flooded.filter((a) => formatAnswer(a) === "429 not-run");
    const good = served.filter((a) => formatAnswer(a) === "200");
    return {
      seen: `${good.length} of ${served.length} served ` +
        `(${[...new Set(served.map(formatAnswer))].join(", ")}); ` +
        "of the other team's " +
        `${flooded.length}, ${refused.length} refused`,
      isKept: good.length === served.length && refused.length > 0,
    };
  }
}

/** A booking and its two answers. */
interface BookedPair {
  readonly id: string;
  readonly first: DemoAnswer;
  readonly again: DemoAnswer;
}

async function sendTwice(
  fleet: DemoFleet,
  vm: DemoVm,
  other: DemoVm,
): Promise<BookedPair> {
  const id = randomUUID();
  const booking = buildBooking(fleet.profile, id);
  const first = await sendOnce(vm.callerAddress, booking);
  const again = await sendOnce(other.callerAddress, booking);
  return { id, first, again };
}

function isTrueAnswer(answer: DemoAnswer): boolean {
  return answer.kind === "answer" && (answer.status === 200 ||
    answer.outcome === "not-run" || answer.outcome === "unknown");
}

function setBehavior(fleet: DemoFleet, behavior: BackendBehavior): void {
  for (const server of fleet.servers.values()) {
    server.setBehavior(behavior);
  }
}
