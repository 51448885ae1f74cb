import { FakeClock } from "@limpetford/core/time/fake_clock";
import { SeededRandomSource } from "@limpetford/core/time/random_source";
import type { FleetConfiguration } from "@limpetford/domain/fleet_configuration";
import {
  type RegionId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";
import { StoreClient } from "@limpetford/platform/store/store_client";

import { TcpConnectProbe } from "./connect_probe.ts";
import { CrashProtection } from "./crash_protection.ts";
import { FleetLog } from "./fleet_log.ts";
import { FleetPeers } from "./fleet_peers.ts";
import { FleetState } from "./fleet_state.ts";
import { PlacementRouter } from "./placement_router.ts";
import { SharedRateLimiter } from "./shared_rate_limiter.ts";
import { SUSPICION_READER } from "./suspicions_handler.ts";
import { SyncMessages } from "./sync_messages.ts";

const CONFIGURATION: FleetConfiguration = {
  version: 3,
  routes: [],
  services: [],
  teams: [],
  keys: [],
  callerLimits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
  hasTeams: true,
};

function buildVm(id: string, startedAtMs = 1): Vm {
  return {
    incarnation: { vm: toId<VmId>(id), startedAtMs },
    zone: toId<ZoneId>("z"),
    region: toId<RegionId>("r"),
    callerAddress: { host: "10.0.0.1", port: 1 },
    peerAddress: { host: "10.0.0.1", port: 2 },
    weight: 1,
  };
}

// The components of one VM that take part in an exchange.
class Side {
  readonly self: Vm;
  readonly state: FleetState;
  readonly peers: FleetPeers;
  readonly messages: SyncMessages;
  readonly crashes: CrashProtection;

  constructor(id: string, clock: FakeClock, startedAtMs = 1) {
    this.self = buildVm(id, startedAtMs);
    this.state = new FleetState(clock);
    this.state.applyVm(this.self);
    this.peers = new FleetPeers(this.self, this.state, clock);
    const log = new FleetLog({ clock, level: "error", vm: id });
    const { self, state, peers } = this;
    this.crashes = new CrashProtection({
      probe: new TcpConnectProbe(),
      client: new StoreClient({ host: "127.0.0.1", port: 1 }),
      clock,
      log,
      readReader: () => SUSPICION_READER.none,
      notifyNews: () => undefined,
    });
    const router = new PlacementRouter({
      state,
      clock,
      random: new SeededRandomSource(1),
      log,
      zone: self.zone,
      retryBounds: { ratio: 0.2, slack: 60 },
      guard: this.crashes.guard,
    });
    const limiter = new SharedRateLimiter({
      self,
      state,
      peers,
      clock,
      log,
      sendTokenRequest: () => Promise.resolve(undefined),
      isFirstStart: true,
      tolerance: 0,
    });
    this.messages = new SyncMessages({
      self,
      state,
      peers,
      router,
      limiter,
      suspicions: this.crashes.suspicions,
      clock,
      log,
    });
  }
}

function recordCrash(side: Side, fingerprints: readonly string[]): void {
  side.crashes.registry.recordCrash(
    "s1",
    fingerprints.map((fingerprint) => ({
      fingerprint,
      id: `run of ${fingerprint}`,
      sentAtMs: 900,
      endedAtMs: 960,
    })),
    960,
  );
}

// A message may be read long after it was sent, for instance by a receiver that
// was paused. If its ages were counted from its arrival, outdated data would
// pass for fresh. Receivers that need no update must get small messages.
describe("SyncMessages", () => {
  let clock: FakeClock;
  let a: Side;
  let b: Side;
  beforeEach(() => {
    clock = new FakeClock();
    a = new Side("a", clock);
    b = new Side("b", clock);
    clock.advance(1_000);
  });

  function sendExchange(): void {
    const sentAtMs = clock.readMonotonicMs();
    b.messages.apply(
      a.messages.build(a.peers.getPeer(b.self), []),
      -Infinity,
    );
    const reply = b.messages.build(b.peers.getPeer(a.self), []);
    a.messages.apply(reply, sentAtMs);
  }

  it("sends a configuration once, with its age", () => {
    b.state.applyConfiguration({ configuration: CONFIGURATION, offset: 7 });
    b.state.recordConfigurationFreshness(clock.readMonotonicMs());
    clock.advance(200);
    sendExchange();
    expect(a.state.active?.configuration.version).toBe(3);
    expect(a.state.configurationAgeMs).toBe(200);
    const next = b.messages.build(b.peers.getPeer(a.self), []);
    expect(next.configurationOffset).toBe(7);
    sendExchange();
    expect(b.messages.build(b.peers.getPeer(a.self), []).configuration)
      .toBeUndefined();
  });

  it("counts the ages in a delayed message from its sending", () => {
    b.state.applyConfiguration({ configuration: CONFIGURATION, offset: 7 });
    sendExchange();
    b.state.recordConfigurationFreshness(clock.readMonotonicMs());
    sendExchange();
    const call = b.messages.build(b.peers.getPeer(a.self), []);
    // The receiver is paused for four seconds before it reads the message.
    clock.advance(4_000);
    a.messages.apply(call, call.echo?.clockMs ?? -Infinity);
    expect(call.echo?.startedAtMs).toBe(1);
    expect(a.state.configurationAgeMs).toBeGreaterThanOrEqual(4_000);
  });

  it("sends the records of VMs that the receiver does not know", () => {
    b.state.applyVm(buildVm("c"));
    sendExchange();
    sendExchange();
    expect(a.state.findVm(toId<VmId>("c"))).toBeDefined();
  });

  it("sends no changes before the receiver has reported its offsets", () => {
    a.state.applyVm(b.self);
    a.state.applyVm(buildVm("c"));
    a.state.applyConfiguration({ configuration: CONFIGURATION, offset: 7 });
    a.state.servers.markRead(40);
    const first = a.messages.build(a.peers.getPeer(b.self), []);
    expect(first.configuration).toBeUndefined();
    expect(first.serverChanges).toBeUndefined();
    expect(first.vms).toBeUndefined();
    sendExchange();
    const second = a.messages.build(a.peers.getPeer(b.self), []);
    expect(second.configuration).toBeDefined();
    expect(second.serverChanges).toBeDefined();
  });

  it("sends no changes if the receiver's offsets are outdated", () => {
    sendExchange();
    clock.advance(10_000);
    a.state.applyConfiguration({ configuration: CONFIGURATION, offset: 7 });
    const call = a.messages.build(a.peers.getPeer(b.self), []);
    expect(call.configuration).toBeUndefined();
  });

  it("sends each suspicion once, with the age of its crash", () => {
    recordCrash(b, ["crashing"]);
    // The first exchange makes the VMs known to each other, the second carries
    // the suspicion, and the third confirms it.
    sendExchange();
    sendExchange();
    sendExchange();
    expect(a.crashes.registry.find("crashing")).toEqual(
      b.crashes.registry.find("crashing"),
    );
    const next = b.messages.build(b.peers.getPeer(a.self), []);
    expect(next.suspicions?.rows).toEqual([]);
  });

  it("sends many suspicions in several messages", () => {
    const fingerprints = Array.from({ length: 450 }, (_, index) => `f${index}`);
    recordCrash(b, fingerprints);
    for (let count = 0; count < 5; count++) {
      const reply = b.messages.build(b.peers.getPeer(a.self), []);
      expect(reply.suspicions?.rows.length).toBeLessThanOrEqual(200);
      sendExchange();
    }
    expect(a.crashes.registry.list()).toHaveLength(450);
  });

  it("sends suspicions again to a VM that has restarted", () => {
    recordCrash(b, ["crashing"]);
    sendExchange();
    sendExchange();
    a = new Side("a", clock, 2);
    sendExchange();
    sendExchange();
    expect(a.crashes.registry.findStatus("crashing")).toBe("suspect");
  });

  it("exchanges messages with a VM that does not know suspicions", () => {
    recordCrash(b, ["crashing"]);
    const { suspicions, ...old } = a.messages.build(
      a.peers.getPeer(b.self),
      [],
    );
    expect(suspicions).toBeDefined();
    b.messages.apply(old, -Infinity);
    const reply = b.messages.build(b.peers.getPeer(a.self), []);
    expect(reply.suspicions?.rows).toEqual([]);
  });
});
