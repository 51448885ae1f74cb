import { FakeClock } from "@limpetford/core/time/fake_clock";
import {
  type RegionId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";
import type { LeadClaim, SyncMessage } from "@limpetford/peer/fleet_sync";

import { buildEmptyConfiguration } from "../fakes/empty_configuration.ts";
import { FleetPeers } from "./fleet_peers.ts";
import { FleetState } from "./fleet_state.ts";

// Messages repeat claims of third VMs, which may have left since. A VM that
// accepted an outdated claim would send callers to a leader that is gone.
const ZONE = toId<ZoneId>("z");

function buildVm(id: string, startedAtMs = 1, weight = 1): Vm {
  return {
    incarnation: { vm: toId<VmId>(id), startedAtMs },
    zone: ZONE,
    region: toId<RegionId>("r"),
    callerAddress: { host: "10.0.0.1", port: 1 },
    peerAddress: { host: "10.0.0.1", port: 2 },
    weight,
  };
}

function buildMessage(
  from: string,
  leads: readonly LeadClaim[],
  changes: Partial<SyncMessage> = {},
): SyncMessage {
  return {
    from: toId<VmId>(from),
    startedAtMs: 1,
    clockMs: 0,
    knowsReceiver: true,
    isLeaving: false,
    leads,
    storeEra: 0,
    configurationVersion: -1,
    configurationAgeMs: null,
    servers: {
      changes: [],
      revision: 0,
      isComplete: false,
      seenRevision: 0,
      ageMs: null,
    },
    vmCount: 3,
    ...changes,
  };
}

function buildClaim(vm: string, sinceMs: number, ageMs = 0): LeadClaim {
  return { vm: toId<VmId>(vm), sinceMs, ageMs, requestsPerSecond: 0 };
}

describe("FleetPeers", () => {
  let clock: FakeClock;
  let state: FleetState;
  let peers: FleetPeers;
  beforeEach(() => {
    clock = new FakeClock();
    state = new FleetState(clock);
    const self = buildVm("self");
    for (const vm of [self, buildVm("a"), buildVm("b")]) {
      state.applyVm(vm);
    }
    state.markCrashingRequestsKnown();
    peers = new FleetPeers(self, state, clock);
    clock.advance(10_000);
  });

  // A VM without a configuration is no leader.
  function applyConfiguration(): void {
    state.applyConfiguration({
      configuration: buildEmptyConfiguration(1),
      position: { era: 0, offset: 0 },
    });
  }

  function readLeader(): string | undefined {
    return peers.chooseLeader(ZONE)?.incarnation.vm;
  }

  it("chooses the VM that has been leader longest", () => {
    peers.applyMessage(buildMessage("a", [buildClaim("a", 20)]));
    peers.applyMessage(buildMessage("b", [buildClaim("b", 10)]));
    expect(readLeader()).toBe("b");
  });

  it("ignores an outdated claim of a leader that is gone", () => {
    peers.applyMessage(buildMessage("a", [buildClaim("a", 10)]));
    peers.applyMessage(buildMessage("b", [buildClaim("b", 20)]));
    expect(readLeader()).toBe("a");
    peers.markSuspected(buildVm("a"));
    clock.advance(1_600);
    // VM b still repeats a claim that VM a made 1.7 s ago.
    peers.applyMessage(
      buildMessage("b", [buildClaim("b", 20), buildClaim("a", 10, 1_700)]),
    );
    expect(readLeader()).toBe("b");
  });

  // Guards against callers that wait at a small VM while large ones rest.
  it("takes over from a leader that is much smaller", () => {
    applyConfiguration();
    state.putVm(buildVm("a", 1, 0.27));
    peers.applyMessage(buildMessage("a", [buildClaim("a", 10)]));
    expect(readLeader()).toBe("self");
    expect(peers.listZoneLeaders(ZONE)).toHaveLength(1);
  });

  it("makes way for a much larger VM once that leads, and not before", () => {
    applyConfiguration();
    peers.ownLeaderSinceMs = 10;
    state.putVm(buildVm("a", 1, 4));
    peers.applyMessage(buildMessage("a", []));
    expect(readLeader()).toBe("self");
    peers.applyMessage(buildMessage("a", [buildClaim("a", 500)]));
    expect(readLeader()).toBe("a");
  });

  it("adds leaders under load and removes them afterwards", () => {
    const claim = { ...buildClaim("a", 10), requestsPerSecond: 450 };
    peers.applyMessage(buildMessage("a", [claim]));
    expect(peers.listZoneLeaders(ZONE).length).toBe(2);
    peers.applyMessage(
      buildMessage("a", [{ ...claim, requestsPerSecond: 40 }]),
    );
    expect(peers.listZoneLeaders(ZONE).map((vm) => vm.incarnation.vm))
      .toEqual(["a"]);
  });

  it("accepts a restarted VM whose clock was set back", () => {
    peers.applyMessage(buildMessage("a", [buildClaim("a", 10)], {
      record: buildVm("a", 0),
      startedAtMs: 0,
    }));
    expect(peers.getPeer(buildVm("a", 0)).leaderSinceMs).toBe(10);
  });

  it("learns about a leader from a third VM", () => {
    peers.applyMessage(buildMessage("b", [buildClaim("a", 10, 100)]));
    expect(readLeader()).toBe("a");
  });

  it("chooses no leaving VM, and resets the state of a restarted one", () => {
    peers.applyMessage(
      buildMessage("a", [buildClaim("a", 10)], { isLeaving: true }),
    );
    peers.applyMessage(buildMessage("b", [buildClaim("b", 20)]));
    expect(readLeader()).toBe("b");
    state.applyVm(buildVm("a", 2));
    expect(peers.getPeer(buildVm("a", 2)).isLeaving).toBe(false);
    expect(readLeader()).toBe("b");
  });
});
