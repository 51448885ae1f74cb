// Guards against VMs that together send a server more than the limit it names:
// at a start, when leaders change, on cuts, and when few VMs have heard of it.

import { buildAnnouncedServer } from "@limpetford/core/fakes/announced_server";
import { FakeClock } from "@limpetford/core/time/fake_clock";
import { makeError, makeOk } from "@limpetford/domain/result";

import { buildEmptyConfiguration } from "../fakes/empty_configuration.ts";
import { ExchangeSide } from "../fakes/exchange_side.ts";
import type { ServerRateLimits } from "./server_rate_limits.ts";

const STEP_MS = 20;
const EXCHANGE_STEPS = 20;
const DISCOVERY_STEPS = 2;
const WINDOW_MS = 4_000;
const SERVER = buildAnnouncedServer("i-1");

// VMs of one zone, which exchange messages and calls unless they are cut from
// each other.
class FakeFleet {
  readonly clock = new FakeClock();
  readonly sides: ExchangeSide[] = [];
  readonly arrivedAtMs: number[] = [];
  readonly cutOff = new Set<number>();
  namedLimit: number | undefined;
  readonly #retryAtMs = new Map<ServerRateLimits, number>();
  #step = 0;

  constructor(count: number) {
    for (let index = 0; index < count; index++) {
      this.sides.push(this.#buildSide(index, 1));
    }
  }

  // A new process of a VM, which knows nothing.
  startAgain(index: number): void {
    this.sides[index] = this.#buildSide(index, this.clock.readWallMs());
  }

  // Every VM sends as much as it may, for a time.
  async run(forMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      this.#step += 1;
      if (this.#step % EXCHANGE_STEPS === 1) {
        this.#sendMessages();
      }
      for (const { limits } of this.sides) {
        await this.#send(limits);
      }
    }
  }

  countMostInWindow(fromMs: number): number {
    const times = this.arrivedAtMs.filter((atMs) => atMs >= fromMs);
    return Math.max(
      0,
      ...times.map((first) =>
        times.filter((atMs) => atMs >= first && atMs < first + WINDOW_MS).length
      ),
    );
  }

  async #send(limits: ServerRateLimits): Promise<void> {
    const nowMs = this.clock.readMonotonicMs();
    if (nowMs < (this.#retryAtMs.get(limits) ?? 0)) {
      return;
    }
    const verdict = await limits.client.take(SERVER, 0);
    if (verdict.kind !== "granted") {
      this.#retryAtMs.set(limits, nowMs + verdict.retryAfterMs);
      return;
    }
    this.arrivedAtMs.push(nowMs);
    const notice = this.namedLimit === undefined
      ? { kind: "none" } as const
      : { kind: "named", requestsPerSecond: this.namedLimit } as const;
    limits.observe(SERVER, notice, { id: "r", grant: verdict.grant });
  }

  // As in the exchange between processes, a VM talks to its leader only, but at
  // the start, when it finds the others.
  #sendMessages(): void {
    for (const side of this.sides) {
      const leader = side.peers.listLeaders()[0]?.incarnation.vm;
      side.peers.ownLeaderSinceMs = leader === side.self.incarnation.vm
        ? side.peers.ownLeaderSinceMs ?? this.clock.readWallMs()
        : undefined;
      const partners = this.#step < DISCOVERY_STEPS
        ? this.sides
        : this.sides.filter(({ self }) => self.incarnation.vm === leader);
      for (const partner of partners) {
        if (partner !== side) {
          this.#sendMessage(side, partner);
        }
      }
    }
  }

  #sendMessage(from: ExchangeSide, to: ExchangeSide): void {
    if (this.#isCut(this.sides.indexOf(from), this.sides.indexOf(to))) {
      from.peers.markSuspected(to.self);
      return;
    }
    const nowMs = this.clock.readMonotonicMs();
    to.messages.apply(
      from.messages.build(from.peers.getPeer(to.self), []),
      nowMs,
    );
    from.messages.apply(
      to.messages.build(to.peers.getPeer(from.self), []),
      nowMs,
    );
  }

  #isCut(a: number, b: number): boolean {
    return this.cutOff.has(a) !== this.cutOff.has(b);
  }

  #buildSide(index: number, startedAtMs: number): ExchangeSide {
    const find = (host: string): ServerRateLimits | undefined => {
      const target = this.sides.findIndex(({ self }) =>
        self.peerAddress.host === host
      );
      return this.#isCut(index, target)
        ? undefined
        : this.sides[target]?.limits;
    };
    const lost = makeError({ kind: "peer-reply-lost", cause: "cut" } as const);
    const side = new ExchangeSide(`vm-${index}`, this.clock, {
      startedAtMs,
      calls: {
        sendServerTokenRequest: (request, { to }) => {
          const limits = find(to.host);
          return Promise.resolve(
            limits === undefined
              ? lost
              : makeOk(limits.issuer.handleRequest(request)),
          );
        },
        sendServerLimitReport: (report, { to }) => {
          const limits = find(to.host);
          limits?.issuer.handleReport(report);
          return Promise.resolve(limits === undefined ? lost : makeOk({}));
        },
      },
    });
    side.state.applyConfiguration({
      configuration: buildEmptyConfiguration(1),
      position: { era: 0, offset: 0 },
    });
    return side;
  }
}

describe("ServerRateLimits", () => {
  it.each([
    [44, 1],
    [44, 0],
    [44, 0.3],
    [8, 2.5],
    [3, 8],
    [1, 2],
  ])(
    "keeps %i VMs to a limit of %d a second together",
    async (count, limit) => {
      const fleet = new FakeFleet(count);
      await fleet.run(1_000);
      fleet.namedLimit = limit;
      const fromMs = fleet.clock.readMonotonicMs() + 1_000;
      await fleet.run(13_000);
      const most = fleet.countMostInWindow(fromMs);
      expect(most).toBeLessThanOrEqual(Math.max(limit, 0.25) * 4.25 + 1);
      expect(most).toBeGreaterThanOrEqual(Math.floor(limit * 4 * 0.8));
    },
  );

  it("lifts the limit at all VMs when it is no longer named", async () => {
    const fleet = new FakeFleet(6);
    await fleet.run(500);
    fleet.namedLimit = 1;
    await fleet.run(3_000);
    fleet.namedLimit = undefined;
    await fleet.run(5_000);
    expect(fleet.sides.map(({ limits }) => limits.tracker.limitedCount))
      .toEqual([0, 0, 0, 0, 0, 0]);
  });

  it("keeps the limit while the VM that grants is lost and another takes over", async () => {
    const fleet = new FakeFleet(6);
    await fleet.run(500);
    fleet.namedLimit = 2;
    await fleet.run(2_000);
    const fromMs = fleet.clock.readMonotonicMs();
    const owner = fleet.sides.findIndex(({ peers }) =>
      peers.ownLeaderSinceMs !== undefined
    );
    fleet.cutOff.add(owner);
    await fleet.run(8_000);
    fleet.cutOff.clear();
    fleet.startAgain(owner);
    await fleet.run(6_000);
    // A process that starts knows no limit until a response names it.
    expect(fleet.countMostInWindow(fromMs)).toBeLessThanOrEqual(1.5 * 8 + 5);
  });

  it("keeps the limit while two halves of the fleet are cut from each other", async () => {
    const fleet = new FakeFleet(6);
    await fleet.run(500);
    fleet.namedLimit = 2;
    await fleet.run(2_000);
    const fromMs = fleet.clock.readMonotonicMs();
    [0, 2, 4].forEach((index) => fleet.cutOff.add(index));
    await fleet.run(10_000);
    fleet.cutOff.clear();
    await fleet.run(6_000);
    expect(fleet.countMostInWindow(fromMs)).toBeLessThanOrEqual(2 * 4.25 + 2);
  });
});
