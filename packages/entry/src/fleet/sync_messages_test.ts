import { buildAnnouncedServer } from "@limpetford/core/fakes/announced_server";
import { FakeClock } from "@limpetford/core/time/fake_clock";
import { toId, type VmId } from "@limpetford/domain/ids";

import { buildEmptyConfiguration } from "../fakes/empty_configuration.ts";
import { buildExchangeVm, ExchangeSide } from "../fakes/exchange_side.ts";

const CONFIGURATION = buildEmptyConfiguration(3);
const POSITION = { era: 0, offset: 7 };
const SERVER = buildAnnouncedServer("i-1");

function recordCrash(
  side: ExchangeSide,
  fingerprints: readonly string[],
): void {
  side.crashes.registry.recordCrash(
    "s1",
    fingerprints.map((fingerprint) => ({
      fingerprint,
      id: `run of ${fingerprint}`,
      sentAtMs: 900,
      endedAtMs: 960,
      wasServerRunning: false,
    })),
    960,
  );
}

// A message may be read long after it was sent, for instance by a receiver that
// was paused. If its ages were counted from its arrival, outdated data would
// pass for fresh. Receivers that need no update must get small messages.
describe("SyncMessages", () => {
  let clock: FakeClock;
  let a: ExchangeSide;
  let b: ExchangeSide;
  beforeEach(() => {
    clock = new FakeClock();
    a = new ExchangeSide("a", clock);
    b = new ExchangeSide("b", clock);
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
    b.state.applyConfiguration({
      configuration: CONFIGURATION,
      position: POSITION,
    });
    b.state.recordConfigurationFreshness(clock.readMonotonicMs());
    clock.advance(200);
    sendExchange();
    expect(a.state.active?.configuration.version).toBe(3);
    expect(a.state.configurationAgeMs).toBe(200);
    const next = b.messages.build(b.peers.getPeer(a.self), []);
    expect(next.configurationVersion).toBe(3);
    expect(next.configurationPosition).toEqual(POSITION);
    sendExchange();
    expect(b.messages.build(b.peers.getPeer(a.self), []).configuration)
      .toBeUndefined();
  });

  it("tells that there is no configuration yet, with the age of that", () => {
    b.state.observeStoreEra(0);
    b.state.recordConfigurationFreshness(clock.readMonotonicMs());
    clock.advance(200);
    sendExchange();
    expect(a.state.configurationAgeMs).toBe(200);
  });

  it("counts the ages in a delayed message from its sending", () => {
    b.state.applyConfiguration({
      configuration: CONFIGURATION,
      position: POSITION,
    });
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
    b.state.applyVm(buildExchangeVm("c"));
    sendExchange();
    sendExchange();
    expect(a.state.findVm(toId<VmId>("c"))).toBeDefined();
  });

  it("sends no changes before the receiver has reported its offsets", () => {
    a.state.applyVm(b.self);
    a.state.applyVm(buildExchangeVm("c"));
    a.state.applyConfiguration({
      configuration: CONFIGURATION,
      position: POSITION,
    });
    a.state.servers.applyAnnouncement(SERVER, POSITION);
    const first = a.messages.build(a.peers.getPeer(b.self), []);
    expect(first.configuration).toBeUndefined();
    expect(first.servers.changes).toEqual([]);
    expect(first.servers.isComplete).toBe(false);
    expect(first.vms).toBeUndefined();
    sendExchange();
    const second = a.messages.build(a.peers.getPeer(b.self), []);
    expect(second.configuration).toBeDefined();
    expect(second.servers.changes).toHaveLength(1);
    expect(second.servers.isComplete).toBe(true);
  });

  it("sends no changes if the receiver's offsets are outdated", () => {
    sendExchange();
    clock.advance(10_000);
    a.state.applyConfiguration({
      configuration: CONFIGURATION,
      position: POSITION,
    });
    const call = a.messages.build(a.peers.getPeer(b.self), []);
    expect(call.configuration).toBeUndefined();
  });

  // Guards against one VM whose deferral keeps a server in use at all others.
  it("takes no deferral over if its own server list is fresh", () => {
    b.state.servers.applyAnnouncement(SERVER, POSITION);
    sendExchange();
    sendExchange();
    expect(a.state.servers.listServers()).toHaveLength(1);
    const nowMs = clock.readMonotonicMs();
    a.state.recordServersFreshness(nowMs - 500);
    const removal = { era: 0, offset: 8 };
    b.state.servers.applyRemoval(SERVER.id, removal, nowMs + 2_300);
    sendExchange();
    expect(b.state.servers.listServers()).toHaveLength(1);
    expect(a.state.servers.listServers()).toHaveLength(0);
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
    a = new ExchangeSide("a", clock, { startedAtMs: 2 });
    sendExchange();
    sendExchange();
    expect(a.crashes.registry.findStatus("crashing")).toBe("suspect");
  });

  // Guards against VMs that ignore each other for good: the restarted one took
  // a message for its earlier process as proof that its new record is known.
  it("is heard by a VM that called it before it knew of the restart", () => {
    b.state.applyConfiguration({
      configuration: CONFIGURATION,
      position: POSITION,
    });
    sendExchange();
    sendExchange();
    a = new ExchangeSide("a", clock, { startedAtMs: 2 });
    a.state.applyVm(b.self);
    const early = b.messages.build(b.peers.getPeer(buildExchangeVm("a")), []);
    a.messages.apply(early, -Infinity);
    sendExchange();
    expect(b.state.findVm(a.self.incarnation.vm)).toEqual(a.self);
    expect(a.state.active?.configuration.version).toBe(CONFIGURATION.version);
  });

  // Guards against VMs that start together and tell each other that nothing is
  // known.
  it("informs a VM that has started only if the sender is informed", () => {
    sendExchange();
    sendExchange();
    expect(a.crashes.suspicions.isInformed).toBe(false);
    b.crashes.suspicions.markInformed("store");
    recordCrash(b, Array.from({ length: 250 }, (_, index) => `f${index}`));
    sendExchange();
    expect(a.crashes.registry.list()).toHaveLength(200);
    expect(a.crashes.suspicions.isInformed).toBe(false);
    sendExchange();
    expect(a.crashes.registry.list()).toHaveLength(250);
    expect(a.crashes.suspicions.isInformed).toBe(true);
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
