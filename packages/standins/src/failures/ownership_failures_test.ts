import { setTimeout as wait } from "node:timers/promises";

import { type ClaimedAnswer, FailureFleet } from "./failure_fleet.ts";

const FLEET_SIZE = 4;
const KEYS = Array.from({ length: 8 }, (_, index) => `key-${index}`);
const ANSWER = { kind: "answer", body: "done", delayMs: 20 } as const;
const SLOW_ANSWER = { kind: "answer", body: "done", delayMs: 1_500 } as const;
const PAUSE_MS = 10_000;
const TEST_TIMEOUT_MS = 60_000;

describe("requests that may not be repeated, over real sockets", () => {
  let fleet: FailureFleet;

  beforeEach(async () => {
    fleet = new FailureFleet();
    await fleet.start(FLEET_SIZE);
    fleet.backend.setBehavior(ANSWER);
  }, TEST_TIMEOUT_MS);

  afterEach(async () => {
    await fleet.stop();
  }, TEST_TIMEOUT_MS);

  function expectOneRunEach(keys: readonly string[]): void {
    expect(keys.map((key) => fleet.countRuns(key))).toEqual(
      keys.map(() => 1),
    );
  }

  it("runs once when the holder is killed in the middle", async () => {
    fleet.backend.setBehavior(SLOW_ANSWER);
    const holder = fleet.findHolder();
    const other = fleet.vms.find((vm) => vm !== holder);
    if (holder === undefined || other === undefined) {
      throw new Error("no holder");
    }
    const first = fleet.sendClaimed(other, "killed");
    await fleet.waitUntil(() => fleet.countRuns("killed") === 1);
    await fleet.abortVm(holder);
    await first;
    const again = await fleet.sendUntilFinal("killed");
    expect(again.outcome).toBe("unknown");
    expectOneRunEach(["killed"]);
    fleet.backend.setBehavior(ANSWER);
    expect((await fleet.sendUntilFinal("after")).status).toBe(200);
    expectOneRunEach(["after"]);
  }, TEST_TIMEOUT_MS);

  it("goes on with the log away", async () => {
    fleet.platform.logFaults.isUnavailable = true;
    await wait(4_000);
    const answers = await Promise.all(
      KEYS.map((key) => fleet.sendUntilFinal(key)),
    );
    expect(answers.map((answer) => answer.status)).toEqual(
      KEYS.map(() => 200),
    );
    expectOneRunEach(KEYS);
    fleet.platform.logFaults.isUnavailable = false;
    const again = await Promise.all(
      KEYS.map((key) => fleet.sendUntilFinal(key)),
    );
    expect(again.map((answer) => answer.status)).toEqual(KEYS.map(() => 200));
    expectOneRunEach(KEYS);
  }, TEST_TIMEOUT_MS);

  it("does not let a holder act that was paused past its promise", async () => {
    const holder = fleet.findHolder();
    if (holder === undefined) {
      throw new Error("no holder");
    }
    const others = fleet.vms.filter((vm) => vm !== holder);
    holder.faults.dropRequestsTo(
      others.map((vm) => vm.entry.settings.self.peerAddress),
    );
    holder.clock.advance(PAUSE_MS);
    const late = await fleet.sendClaimed(holder, "late");
    expect(late.outcome).not.toBe("ran");
    const runsOfLate = fleet.countRuns("late");
    holder.faults.clear();
    const final = await fleet.sendUntilFinal("late");
    expect(final.status).toBe(200);
    expect(runsOfLate).toBeLessThanOrEqual(1);
    expectOneRunEach(["late"]);
  }, TEST_TIMEOUT_MS);

  it("keeps one run when the holder's link to its standby is cut", async () => {
    const holder = fleet.findHolder();
    const standby = fleet.findStandby();
    if (holder === undefined || standby === undefined) {
      throw new Error("no pair");
    }
    holder.faults.dropRequestsTo([standby.entry.settings.self.peerAddress]);
    for (const key of KEYS) {
      const answer = await fleet.sendUntilFinal(key);
      expect(answer.status).toBe(200);
    }
    expectOneRunEach(KEYS);
  }, TEST_TIMEOUT_MS);

  it("reports unknown after both members of the pair are killed", async () => {
    fleet.backend.setBehavior(SLOW_ANSWER);
    const holder = fleet.findHolder();
    const standby = fleet.findStandby();
    if (holder === undefined || standby === undefined) {
      throw new Error("no pair");
    }
    const first = fleet.sendClaimed(holder, "both");
    await fleet.waitUntil(() => fleet.countRuns("both") === 1);
    await Promise.all([fleet.abortVm(holder), fleet.abortVm(standby)]);
    await first;
    const again = await fleet.sendUntilFinal("both");
    expect(again.outcome).toBe("unknown");
    expectOneRunEach(["both"]);
    const unseen = await fleet.sendUntilFinal("unseen");
    expect(unseen.outcome).toBe("unknown");
    expect(fleet.countRuns("unseen")).toBe(0);
  }, TEST_TIMEOUT_MS);

  it("replaces every VM while requests run", async () => {
    const keys: string[] = [];
    const answers: Promise<ClaimedAnswer>[] = [];
    const progress = { isDone: false };
    const sending = (async () => {
      while (!progress.isDone && keys.length < 400) {
        const key = `rolling-${keys.length}`;
        keys.push(key);
        answers.push(fleet.sendUntilFinal(key));
        await wait(50);
      }
    })();
    for (let index = 0; index < FLEET_SIZE; index += 1) {
      await fleet.startVm(FLEET_SIZE + index);
      const [oldest] = fleet.vms;
      if (oldest !== undefined) {
        await fleet.drainVm(oldest);
      }
    }
    progress.isDone = true;
    await sending;
    const final = await Promise.all(answers);
    expect(keys.length).toBeGreaterThan(FLEET_SIZE);
    const runs = keys.map((key) => fleet.countRuns(key));
    expect(Math.max(...runs)).toBe(1);
    expect(final.map((answer) => answer.status)).toEqual(keys.map(() => 200));
    expectOneRunEach(keys);
  }, TEST_TIMEOUT_MS);
});
