// Guards against VMs that are cut off from each other and grant more of a team's
// limit between them than the whole of it.

import { FakeClock } from "@limpetford/core/time/fake_clock";

import type { ExchangeSide } from "../fakes/exchange_side.ts";
import { LimiterNetwork } from "../fakes/limiter_network.ts";

const ZONES = 3;
const TOLERANCE = 20;
const LIMIT = { version: 1, ratePerSecond: 200, burst: 20 };
const WINDOW_MS = 5_000;
const STEP_MS = 50;
// The users' rule for any window, summed over all VMs.
const ALLOWED = (LIMIT.ratePerSecond * WINDOW_MS / 1_000 + LIMIT.burst) * 1.1 +
  TOLERANCE;

type Split = (side: ExchangeSide, index: number) => number;

const NONE: Split = () => 0;

/** How a fleet is cut, and what its callers ask. */
interface Scenario {
  readonly vms: number;
  readonly split: Split;
  /** Requests in each step at each VM. */
  readonly asks: number;
}

interface Outcome {
  readonly mostInWindow: number;
  readonly granted: number;
  readonly asked: number;
}

async function run({ vms, split, asks }: Scenario): Promise<Outcome> {
  const clock = new FakeClock();
  const network = new LimiterNetwork(clock, {
    zones: ZONES,
    vms,
    tolerance: TOLERANCE,
  });
  for (let index = 0; index < vms; index++) {
    network.start(index, LIMIT, true);
  }
  const grantedAtMs: number[] = [];
  let asked = 0;
  let due = 0;
  const advance = async (forMs: number, isAsking: boolean): Promise<void> => {
    for (let atMs = 0; atMs < forMs; atMs += STEP_MS) {
      network.advance();
      due += isAsking ? asks : 0;
      for (; due >= 1; due -= 1) {
        for (const side of network.listSides()) {
          asked += 1;
          if (await network.send(side)) {
            grantedAtMs.push(clock.readMonotonicMs());
          }
        }
      }
      clock.advance(STEP_MS);
    }
  };
  await advance(2_000, false);
  await advance(3_000, true);
  network.split(split);
  await advance(12_000, true);
  return {
    mostInWindow: Math.max(
      ...grantedAtMs.map((first) =>
        grantedAtMs.filter((atMs) => atMs >= first && atMs < first + WINDOW_MS)
          .length
      ),
    ),
    granted: grantedAtMs.length,
    asked,
  };
}

/** Isolates the given VMs one by one; the others stay together. */
function splitOff(indices: readonly number[]): Split {
  return (_side, index) => indices.includes(index) ? index + 1 : 0;
}

const CUTS: readonly (readonly [string, number, Split])[] = [
  ["no VM", 12, NONE],
  ["three VMs, each alone", 12, splitOff([3, 4, 5])],

  ["the three leaders, each alone", 12, splitOff([0, 1, 2])],
  ["half of each zone", 12, (_side, index) => index < 6 ? 0 : 1],
  ["one zone", 12, (_side, index) => index % ZONES === 0 ? 0 : 1],
  ["each zone", 12, (_side, index) => index % ZONES],
  ["all VMs, each alone", 12, (_side, index) => index],
];

describe("SharedRateLimiter while VMs are cut off", () => {
  it.each(CUTS)("keeps the limit: %s", async (_name, vms, split) => {
    const { mostInWindow } = await run({ vms, split, asks: 2 });
    expect({ mostInWindow, isKept: mostInWindow <= ALLOWED })
      .toEqual({ mostInWindow, isKept: true });
  });
});
