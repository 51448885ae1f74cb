/** Steps with faults: gray server, log outage, VMs that stop or die. */

import { randomUUID } from "node:crypto";
import { setTimeout as wait } from "node:timers/promises";

import { buildBooking } from "../demo_booking.ts";
import type { DemoAnswer } from "../demo_caller.ts";
import { formatAnswer, sendOnce } from "../demo_caller.ts";
import type { DemoFleet } from "../demo_fleet.ts";
import { buildDemoKey } from "../demo_profile.ts";
import type { TourObservation } from "./tour_step.ts";
import { findFirstEntry, pickVm, TourStep, waitUntil } from "./tour_step.ts";

const DETECTION_MS = 3_000;
const ROUND_MS = 100;
const REQUESTS_PER_ROUND = 20;
const RECOVERY_MS = 15_000;
const IN_FLIGHT = 10;
const ARRIVAL_MS = 10_000;

/** Lets a server fail its work while its health endpoint says all is well. */
export class GrayServerStep extends TourStep {
  override readonly promise =
    "a server that fails its work but not its probes is out within 3 s";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const name = `${fleet.profile.service}-03`;
    const server = fleet.servers.get(name);
    if (server === undefined) {
      return { seen: "no such server", isKept: false };
    }
    await sendReads(fleet, 20);
    server.setBehavior({ kind: "answer", status: 500, body: "broken" });
    await sendReads(fleet, DETECTION_MS / ROUND_MS);
    const before = { own: server.runCount, all: fleet.countRuns() };
    const answers = await sendReads(fleet, 30);
    const own = server.runCount - before.own;
    const all = fleet.countRuns() - before.all;
    const good = answers.filter((answer) => formatAnswer(answer) === "200");
    server.setBehavior({ kind: "answer", body: '{"free":true}' });
    return {
      seen: `after 3 s it got ${own} of ${all} requests; callers got ` +
        `${good.length} of ${answers.length} answers 200`,
      isKept: own <= all / 200 && good.length === answers.length,
    };
  }
}

/** Stops a VM as planned while requests run there. */
export class PlannedStopStep extends TourStep {
  override readonly promise = "a planned stop cuts no request in flight";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const vm = pickVm(fleet, 3);
    setDelay(fleet, 1_000);
    const { readPath, largeTeam } = fleet.profile;
    const call = { path: readPath, key: buildDemoKey(largeTeam) };
    const before = fleet.countRuns();
    const sending = Array.from(
      { length: IN_FLIGHT },
      () => sendOnce(vm.callerAddress, call),
    );
    const arrivedMs = await waitUntil(
      ARRIVAL_MS,
      () => fleet.countRuns() - before >= IN_FLIGHT,
    );
    const startMs = performance.now();
    await fleet.drainVm(vm);
    const tookMs = Math.round(performance.now() - startMs);
    const answers = await Promise.all(sending);
    setDelay(fleet, 5);
    await fleet.startVm(vm.number);
    const good = answers.filter((answer) => formatAnswer(answer) === "200");
    return {
      seen: `${good.length} of ${answers.length} requests in flight got ` +
        `200 (${listKinds(answers)}); stopped after ${tookMs} ms`,
      isKept: arrivedMs !== undefined && good.length === answers.length,
    };
  }
}

/** Takes the log away and books. */
export class LogAwayStep extends TourStep {
  override readonly promise =
    "with the log away, bookings go on and still run once";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    fleet.platform.logFaults.isUnavailable = true;
    await wait(1_000);
    const ids = Array.from({ length: 5 }, () => randomUUID());
    const first: DemoAnswer[] = [];
    const second: DemoAnswer[] = [];
    for (const [index, id] of ids.entries()) {
      const booking = buildBooking(fleet.profile, id);
      first.push(await sendOnce(pickVm(fleet, index).callerAddress, booking));
      second.push(
        await sendOnce(pickVm(fleet, index + 1).callerAddress, booking),
      );
    }
    fleet.platform.logFaults.isUnavailable = false;
    const runs = ids.map((id) => fleet.countRunsOfKey(id));
    const good = first.filter((answer) => formatAnswer(answer) === "200");
    return {
      seen: `${good.length} of ${ids.length} answered 200; sent again: ` +
        `${[...new Set(second.map(formatAnswer))].join(", ")}; ` +
        `runs ${runs.join(" ")}`,
      isKept: good.length === ids.length && runs.every((count) => count === 1),
    };
  }
}

/** Sends several times a team's rate through all VMs. */
export class RateStep extends TourStep {
  override readonly promise =
    "a team gets no more than burst and rate over all VMs together";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const { configuration } = await fleet.readState();
    const { smallTeam, readPath } = fleet.profile;
    const team = configuration.teams.find((t) => String(t.id) === smallTeam);
    if (team === undefined) {
      return { seen: "no such team", isKept: false };
    }
    const call = { path: readPath, key: buildDemoKey(smallTeam) };
    const startMs = performance.now();
    const answers: DemoAnswer[] = [];
    for (let round = 0; round < 20; round++) {
      answers.push(
        ...await Promise.all(
          [...fleet.vms.values()].flatMap((vm) => [
            sendOnce(vm.callerAddress, call),
            sendOnce(vm.callerAddress, call),
          ]),
        ),
      );
      await wait(ROUND_MS);
    }
    const tookS = (performance.now() - startMs) / 1_000;
    const most = team.burst + team.ratePerSecond * tookS;
    const granted = answers.filter((a) => formatAnswer(a) === "200").length;
    const refused = answers.filter((a) => formatAnswer(a) === "429 not-run");
    const withPause = refused.filter((a) =>
      a.kind === "answer" && a.retryAfter !== ""
    );
    return {
      seen:
        `${granted} of ${answers.length} granted in ${
          tookS.toFixed(1)
        } s, at most ${most.toFixed(1)}; ${withPause.length} refused truly ` +
        `(${listKinds(answers)})`,
      isKept: granted <= most && granted > 0 &&
        granted + withPause.length === answers.length,
    };
  }
}

/** Kills the VM that callers of a team are led to, in mid-booking. */
export class KilledHolderStep extends TourStep {
  override readonly promise =
    "after the death of a VM bookings go on, and none runs twice";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const id = randomUUID();
    const booking = buildBooking(fleet.profile, id);
    const holder = await findFirstEntry(fleet);
    setDelay(fleet, 1_000);
    const cut = sendOnce(holder.callerAddress, booking);
    await wait(500);
    await fleet.stopVm(holder);
    const answer = await cut;
    setDelay(fleet, 5);
    const fresh = randomUUID();
    const freshBooking = buildBooking(fleet.profile, fresh);
    const tookMs = await waitUntil(RECOVERY_MS, async () => {
      const target = pickVm(fleet, 0).callerAddress;
      return formatAnswer(await sendOnce(target, freshBooking)).startsWith(
        "200",
      );
    });
    const again = await sendOnce(pickVm(fleet, 1).callerAddress, booking);
    const runs = [fleet.countRunsOfKey(id), fleet.countRunsOfKey(fresh)];
    await fleet.startVm(holder.number);
    return {
      seen: `caught booking: ${formatAnswer(answer)}, sent again: ` +
        `${formatAnswer(again)}; new one after ${tookMs ?? "?"} ms; ` +
        `runs ${runs.join(" ")}`,
      isKept: tookMs !== undefined && runs.join() === "1,1",
    };
  }
}

function listKinds(answers: readonly DemoAnswer[]): string {
  return [...new Set(answers.map(formatAnswer))].join(", ");
}

async function sendReads(
  fleet: DemoFleet,
  rounds: number,
): Promise<readonly DemoAnswer[]> {
  const { readPath, largeTeam } = fleet.profile;
  const call = { path: readPath, key: buildDemoKey(largeTeam) };
  const sending: Promise<DemoAnswer>[] = [];
  for (let round = 0; round < rounds; round++) {
    for (let index = 0; index < REQUESTS_PER_ROUND; index++) {
      sending.push(sendOnce(pickVm(fleet, index).callerAddress, call));
    }
    await wait(ROUND_MS);
  }
  return await Promise.all(sending);
}

function setDelay(fleet: DemoFleet, delayMs: number): void {
  for (const server of fleet.servers.values()) {
    server.setBehavior({ kind: "answer", body: '{"free":true}', delayMs });
  }
}
