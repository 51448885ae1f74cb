/**
 * Two VMs share one team's token bucket over gRPC. The tests guard against more
 * admitted requests than the bucket has tokens, which happens if a token is
 * spent at two VMs, after its grant has expired, or by a VM that is no longer
 * the holder; and against refusals of requests within the rate.
 */

import { StaticFleetView } from "@limpetford/core/membership/static_fleet_view";
import {
  OwnershipView,
  type ShardOwnership,
} from "@limpetford/core/ownership/ownership_view";
import { findTeamShard } from "@limpetford/core/sharding/shard_hash";
import { FakeClock } from "@limpetford/core/time/fake_clock";
import {
  type ConfigurationVersion,
  type RegionId,
  type RequestId,
  type RouteId,
  type ServiceId,
  type TeamId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";
import {
  bindLimitsCalls,
  registerLimitsService,
} from "@limpetford/peer/limits_handlers";
import { type LinkDecision, LinkFaults } from "@limpetford/peer/link_faults";
import { PeerChannels } from "@limpetford/peer/peer_channels";
import { PeerServer } from "@limpetford/peer/peer_server";

import { FixedConfiguration } from "../../fakes/fixed_configuration.ts";
import type { RequestContext } from "../../ports/request_context.ts";
import { SystemTimers } from "../../vm/system_timers.ts";
import { RateLimiterComponent } from "./rate_limiter_component.ts";

const TEAM = toId<TeamId>("ferry");
const SHARD = findTeamShard(TEAM);
const BURST = 20;
const RATE = 5;
const LONG_MS = 60_000;

class SwitchableOwnership extends OwnershipView {
  holder: Vm | undefined;
  mayHolderAct = true;

  override findOwnership(): ShardOwnership | undefined {
    return this.holder === undefined
      ? undefined
      : { shard: SHARD, epoch: 1, holder: this.holder, standby: undefined };
  }

  override mayAct(): boolean {
    return this.mayHolderAct;
  }
}

class SwitchableLinks extends LinkFaults {
  decision: LinkDecision = "pass";
  onCall: (() => void) | undefined;

  override decide(): LinkDecision {
    this.onCall?.();
    return this.decision;
  }
}

interface TestVm {
  readonly vm: Vm;
  readonly links: SwitchableLinks;
  readonly limiter: RateLimiterComponent;
  close(): void;
}

describe("RateLimiterComponent over gRPC", () => {
  let clock: FakeClock;
  let ownership: SwitchableOwnership;
  let vms: readonly TestVm[];

  beforeEach(async () => {
    clock = new FakeClock();
    ownership = new SwitchableOwnership();
    const servers = [new PeerServer(), new PeerServer()];
    const records = servers.map((_, index) => makeVm(index));
    vms = servers.map((server, index) => {
      const vm = records[index] ?? makeVm(index);
      return makeTestVm({ vm, server, clock, ownership, records });
    });
    for (const [index, server] of servers.entries()) {
      const address = await server.bind(
        { host: "127.0.0.1", port: 0 },
        undefined,
      );
      const record = records[index];
      if (record !== undefined) {
        Object.assign(record.peerAddress, address);
      }
    }
    ownership.holder = vms[0]?.vm;
    vms[0]?.limiter.acquireShard(SHARD, { kind: "takeover" });
    clock.advance(LONG_MS);
  });

  afterEach(() => {
    vms.forEach((vm) => {
      vm.close();
    });
  });

  async function countGranted(at: number, tries: number): Promise<number> {
    let granted = 0;
    for (let attempt = 0; attempt < tries; attempt += 1) {
      const verdict = await vms[at]?.limiter.acquire(TEAM, makeContext(clock));
      granted += verdict?.kind === "granted" ? 1 : 0;
    }
    return granted;
  }

  it("admits a single burst across all VMs", async () => {
    const remote = await countGranted(1, 8);
    const local = await countGranted(0, 30);
    expect([remote, remote + local]).toEqual([8, BURST]);
  });

  it.each(
    [
      { kind: "first", granted: BURST },
      { kind: "takeover", granted: 0 },
    ] as const,
  )("starts with $granted tokens after ownership by $kind", async (row) => {
    vms[0]?.limiter.acquireShard(SHARD, { kind: row.kind });
    expect(await countGranted(0, 2 * BURST)).toBe(row.granted);
  });

  it("lets a VM that is not the holder spend the whole burst", async () => {
    expect(await countGranted(1, 40)).toBe(BURST);
    clock.advance(LONG_MS);
    expect(await countGranted(1, 5)).toBe(5);
  });

  it("admits no more concurrent requests than there are tokens", async () => {
    const [, remoteVm] = vms;
    let calls = 0;
    if (remoteVm !== undefined) {
      remoteVm.links.onCall = () => {
        calls += 1;
        clock.advance(500);
      };
    }
    const context = makeContext(clock);
    const verdicts = await Promise.all(
      Array.from(
        { length: 3 * BURST },
        async () => await remoteVm?.limiter.acquire(TEAM, context),
      ),
    );
    const granted = verdicts.filter((v) => v?.kind === "granted").length;
    expect(granted).toBeGreaterThan(0);
    expect(granted).toBeLessThanOrEqual(BURST + RATE * calls);
  });

  it("reports no-holder when the holder is unreachable", async () => {
    const remoteVm = vms[1];
    if (remoteVm !== undefined) {
      remoteVm.links.decision = "drop-request";
    }
    const verdict = await remoteVm?.limiter.acquire(TEAM, makeContext(clock));
    expect(verdict).toMatchObject({ kind: "no-holder" });
  });

  it("spends no token as holder without a promise", async () => {
    ownership.mayHolderAct = false;
    expect(await countGranted(0, 3) + await countGranted(1, 3)).toBe(0);
  });

  it("spends no grant that expired while the VM was paused", async () => {
    await countGranted(1, 8);
    ownership.mayHolderAct = false;
    clock.advance(LONG_MS);
    expect(await countGranted(1, 3)).toBe(0);
  });

  it("keeps its tokens after a handover and starts empty after a takeover", async () => {
    await countGranted(0, 5);
    const state = vms[0]?.limiter.prepareHandover(SHARD) ?? new Uint8Array();
    ownership.holder = vms[1]?.vm;
    vms[1]?.limiter.acquireShard(SHARD, { kind: "handover", state });
    expect(await countGranted(1, 40)).toBe(BURST - 5);
    clock.advance(LONG_MS);
    ownership.holder = vms[0]?.vm;
    vms[0]?.limiter.acquireShard(SHARD, { kind: "takeover" });
    expect(await countGranted(0, 3)).toBe(0);
    clock.advance(1_000);
    expect(await countGranted(0, 40)).toBe(RATE);
  });
});

function makeVm(index: number): Vm {
  const address = { host: "127.0.0.1", port: 0 };
  return {
    incarnation: { vm: toId<VmId>(`vm-${index}`), startedAtMs: 1 },
    zone: toId<ZoneId>("zone"),
    region: toId<RegionId>("region"),
    callerAddress: address,
    peerAddress: { ...address },
    weight: 1,
  };
}

interface TestVmOptions {
  readonly vm: Vm;
  readonly server: PeerServer;
  readonly clock: FakeClock;
  readonly ownership: OwnershipView;
  readonly records: readonly Vm[];
}

function makeTestVm(options: TestVmOptions): TestVm {
  const { vm, server, clock, ownership, records } = options;
  const links = new SwitchableLinks();
  const channels = new PeerChannels({ linkFaults: links });
  const limiter = new RateLimiterComponent({
    configuration: makeConfiguration(),
    ownership,
    fleet: new StaticFleetView(vm, records.filter((other) => other !== vm)),
    calls: bindLimitsCalls(channels),
    clock,
    timers: new SystemTimers(),
  });
  registerLimitsService(server, limiter);
  return {
    vm,
    links,
    limiter,
    close() {
      channels.close();
      server.close();
    },
  };
}

function makeConfiguration(): FixedConfiguration {
  return new FixedConfiguration({
    version: toId<ConfigurationVersion>(1),
    services: [],
    servers: [],
    routes: [],
    teams: [{ id: TEAM, ratePerSecond: RATE, burst: BURST, weight: 1 }],
    keys: [],
  });
}

function makeContext(clock: FakeClock): RequestContext {
  const nowMs = clock.readMonotonicMs();
  return {
    id: toId<RequestId>("r"),
    route: {
      id: toId<RouteId>("r"),
      service: toId<ServiceId>("s"),
      method: "GET",
      pathPrefix: "/",
      access: "team",
      isIdempotent: true,
      deadlineMs: LONG_MS,
      bodyLimitBytes: 0,
      derivedKeyWindowMs: 0,
    },
    team: TEAM,
    method: "GET",
    target: "/",
    receivedAtMs: nowMs,
    deadlineAtMs: nowMs + LONG_MS,
    isPassedOn: false,
  };
}
