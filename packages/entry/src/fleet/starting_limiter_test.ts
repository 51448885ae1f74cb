// Guards against teams that go over their limit after a loss of power everywhere:
// VMs that have just started and hear of no other each granted the whole limit.

import { FakeClock } from "@limpetford/core/time/fake_clock";
import { toId, type VmId } from "@limpetford/domain/ids";

import type { ExchangeSide } from "../fakes/exchange_side.ts";
import { LIMITED_TEAM as TEAM, startLimiters } from "../fakes/limiter_fleet.ts";
import { buildPlacementRequest } from "../fakes/placement_request.ts";

const RATE = 10;
const BURST = 10;
const TOLERANCE = 20;
const WINDOW_MS = 5_000;
// The users' rule for any window, summed over all VMs.
const ALLOWED = (RATE * WINDOW_MS / 1_000 + BURST) * 1.1 + TOLERANCE;
const DEMAND_INTERVAL_MS = 10;
const LEARNING_MS = 1_500;

interface StartOptions {
  readonly vms: number;
  /** Number of VMs in the store's list; 0 while it has not been read. */
  readonly listed: number;
  /** True if each VM hears of the VM before it in the order of their start. */
  readonly isHeard: boolean;
}

function startVms(
  clock: FakeClock,
  { vms, listed, isHeard }: StartOptions,
): readonly ExchangeSide[] {
  const started = startLimiters(clock, {
    ratePerSecond: RATE,
    burst: BURST,
    tolerance: TOLERANCE,
    vms,
    listed,
  });
  started.forEach(({ limiter }, index) => {
    const before = started[index - 1];
    if (isHeard && before !== undefined) {
      limiter.applyPeer(before.self.incarnation.vm, undefined, 0);
    }
  });
  return started;
}

async function countGranted(options: StartOptions): Promise<number> {
  const clock = new FakeClock();
  const vms = startVms(clock, options);
  // Until then requests wait for a report of another VM.
  clock.advance(LEARNING_MS);
  let granted = 0;
  for (let atMs = 0; atMs < WINDOW_MS; atMs += DEMAND_INTERVAL_MS) {
    clock.advance(DEMAND_INTERVAL_MS);
    const vm = vms[(atMs / DEMAND_INTERVAL_MS) % vms.length];
    const { context } = buildPlacementRequest(`r-${atMs}`);
    const verdict = await vm?.limiter.acquire(TEAM, context);
    granted += verdict?.kind === "granted" ? 1 : 0;
  }
  return granted;
}

describe("SharedRateLimiter after a start that is not the first", () => {
  const starts: readonly StartOptions[] = [
    { vms: 1, listed: 0, isHeard: false },
    { vms: 3, listed: 0, isHeard: false },
    { vms: 40, listed: 0, isHeard: false },
    { vms: 3, listed: 40, isHeard: false },
    { vms: 40, listed: 40, isHeard: false },
  ];
  it.each(starts)("stays within the limit: %j", async (options) => {
    expect(await countGranted(options)).toBeLessThanOrEqual(ALLOWED);
  });

  it("waits after the start until it hears of another VM", async () => {
    const clock = new FakeClock();
    const [vm] = startVms(clock, { vms: 1, listed: 3, isHeard: false });
    const { context } = buildPlacementRequest("r-1");
    let isDecided = false;
    const verdict = vm?.limiter.acquire(TEAM, context).then((decided) => {
      isDecided = true;
      return decided.kind;
    });
    await new Promise((resolve) => setTimeout(resolve, 400));
    expect(isDecided).toBe(false);
    vm?.limiter.applyPeer(toId<VmId>("vm-2"), new Map(), 0);
    expect(await verdict).toBe("granted");
  });

  it("grants a part of the limit while it hears of no other VM", async () => {
    const granted = await countGranted({ vms: 1, listed: 3, isHeard: false });
    expect(granted).toBeGreaterThan(0);
    expect(granted).toBeLessThanOrEqual(ALLOWED / 3);
  });

  it("grants no more than a third at first, though it leads alone", async () => {
    const clock = new FakeClock();
    const vms = startVms(clock, { vms: 2, listed: 2, isHeard: true });
    const vm = vms[1];
    clock.advance(1_000);
    let granted = 0;
    for (let count = 0; count < 40; count++) {
      const { context } = buildPlacementRequest(`r-${count}`);
      const verdict = await vm?.limiter.acquire(TEAM, context);
      granted += verdict?.kind === "granted" ? 1 : 0;
    }
    expect(granted).toBeLessThanOrEqual((RATE + TOLERANCE) / 3);
  });

  it("grants little in advance while many VMs take themselves for leaders", async () => {
    const clock = new FakeClock();
    const vms = startVms(clock, { vms: 8, listed: 44, isHeard: true });
    clock.advance(300);
    let granted = 0;
    for (const { limiter } of vms.slice(1)) {
      for (let count = 0; count < 40; count++) {
        const { context } = buildPlacementRequest(`r-${count}`);
        const verdict = await limiter.acquire(TEAM, context);
        granted += verdict.kind === "granted" ? 1 : 0;
      }
    }
    // What accrued in a second, and the tolerance.
    expect(granted).toBeLessThanOrEqual(RATE + TOLERANCE);
  });

  it("leaves what accrued to the leaders, whoever is asked", () => {
    const clock = new FakeClock();
    const ratePerSecond = 100;
    const vms = startLimiters(clock, {
      ratePerSecond,
      burst: ratePerSecond,
      tolerance: TOLERANCE,
      vms: 44,
      listed: 44,
    });
    for (const [index, { limiter, peers }] of vms.entries()) {
      if (index > 2) {
        peers.ownLeaderSinceMs = undefined;
      }
      for (
        const other of vms.slice(0, 3).filter((vm) => vm.limiter !== limiter)
      ) {
        limiter.applyPeer(other.self.incarnation.vm, new Map(), 0);
      }
    }
    const waitedMs = 300;
    clock.advance(waitedMs);
    let granted = 0;
    for (const { limiter } of vms) {
      for (let count = 0; count < 100; count++) {
        const { isGranted } = limiter.handleTokenRequest({ team: TEAM });
        granted += isGranted ? 1 : 0;
      }
    }
    expect(granted).toBeLessThanOrEqual(
      ratePerSecond * (1 + waitedMs / 1_000) + TOLERANCE,
    );
    expect(granted).toBeGreaterThan(ratePerSecond / 2);
  });

  it("gives a leader what accrued once it has heard of others", () => {
    const clock = new FakeClock();
    const [vm] = startLimiters(clock, {
      ratePerSecond: 30,
      burst: 30,
      tolerance: TOLERANCE,
      vms: 1,
      listed: 30,
    });
    const takeAll = (): number => {
      let taken = 0;
      while (
        vm?.limiter.handleTokenRequest({ team: TEAM }).isGranted === true
      ) {
        taken += 1;
      }
      return taken;
    };
    vm?.limiter.applyPeer(toId<VmId>("vm-1"), undefined, 0);
    expect(takeAll()).toBeGreaterThan(0);
    expect(takeAll()).toBe(0);
    vm?.limiter.applyPeer(toId<VmId>("vm-2"), undefined, 0);
    // A third of what accrues in a second, but for what it had before.
    const rest = takeAll();
    expect(rest).toBeLessThanOrEqual(10);
    expect(rest).toBeGreaterThan(6);
  });
});
