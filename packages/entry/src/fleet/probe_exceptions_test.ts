// Guards against a check of the links or a probe of a server that ends the VM when
// it throws, or after whose exception no other one begins.

import { FakeClock } from "@limpetford/core/time/fake_clock";
import { type ServerId, type ServiceId, toId } from "@limpetford/domain/ids";

import { CollectedExceptions } from "../fakes/collected_exceptions.ts";
import { buildExchangeVm, ExchangeSide } from "../fakes/exchange_side.ts";
import { buildPlacementRequest } from "../fakes/placement_request.ts";
import { ConnectProbe, type ConnectResult } from "./connect_probe.ts";
import { CrashGuard } from "./crash_guard.ts";
import { CrashObserver, type EndedRun } from "./crash_observer.ts";
import { FleetReach } from "./fleet_reach.ts";
import { GuardedConnectProbe } from "./guarded_connect_probe.ts";
import { ServerReachMonitor } from "./server_reach_monitor.ts";
import { ZoneLeadership } from "./zone_leadership.ts";

const SERVER = {
  id: toId<ServerId>("i-1"),
  startedAtMs: 1,
  address: { host: "127.0.0.1", port: 1 },
};

class FaultyProbe extends ConnectProbe {
  override probe(): Promise<ConnectResult> {
    throw new Error("fault of a probe");
  }
}

class RefusedProbe extends ConnectProbe {
  override probe(): Promise<ConnectResult> {
    return Promise.resolve("refused");
  }
}

async function waitTurn(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

function buildBroken(fingerprint = "f"): EndedRun {
  return {
    server: SERVER,
    request: buildPlacementRequest(`r-${fingerprint}`, { fingerprint }),
    sample: {
      outcome: "reset-before-first-byte",
      firstByteMs: undefined,
      totalMs: 60,
      wasConnectionReused: true,
      answerBytes: 0,
    },
    sentAtMs: 0,
  };
}

describe("an exception of a probe", () => {
  const clock = new FakeClock();
  let exceptions: CollectedExceptions;
  let side: ExchangeSide;
  beforeEach(() => {
    exceptions = new CollectedExceptions();
    side = new ExchangeSide("vm-1", clock);
  });

  it("counts as no answer", async () => {
    const probe = new GuardedConnectProbe(new FaultyProbe(), exceptions);
    await expect(probe.probe(SERVER.address)).resolves.toBe("unanswered");
    expect(exceptions.sources).toEqual(["server"]);
  });

  it("leaves the attempts to the next probe of the server", async () => {
    let faults = 1;
    const crashed: (readonly string[])[] = [];
    const observer = new CrashObserver({
      probe: new RefusedProbe(),
      clock,
      log: side.log,
      exceptions,
      verifyLinks: () => {
        faults -= 1;
        return faults === 0
          ? Promise.reject(new Error("fault of a check"))
          : Promise.resolve(true);
      },
      handleCrash: ({ attempts }) => {
        crashed.push(attempts.map(({ fingerprint }) => fingerprint));
      },
    });
    await observer.observe(buildBroken());
    expect(exceptions.sources).toEqual(["server"]);
    expect(observer.findProbe("f")).toBeUndefined();
    await observer.observe(buildBroken("g"));
    expect(crashed).toEqual([["f", "g"]]);
  });

  it("lets equal suspect requests run", async () => {
    const guard = new CrashGuard({
      registry: side.crashes.registry,
      probe: new FaultyProbe(),
      clock,
      log: side.log,
      exceptions,
      verifyLinks: () => Promise.resolve(true),
      handleCrash: () => undefined,
    });
    const run = buildBroken();
    const withdraw = jest.spyOn(guard, "withdraw");
    guard.complete(run);
    await waitTurn();
    expect(withdraw).toHaveBeenCalledWith(run.request);
    expect(exceptions.sources).toEqual(["server"]);
  });
});

describe("an exception of a check of the links", () => {
  const clock = new FakeClock();
  let exceptions: CollectedExceptions;
  beforeEach(() => {
    exceptions = new CollectedExceptions();
  });

  function buildReach(verify: () => Promise<void>): FleetReach {
    const { self, peers, balancers } = new ExchangeSide("vm-1", clock);
    return new FleetReach({
      self,
      peers,
      balancers,
      monitor: { verify },
      clock,
      exceptions,
      notifyChange: () => {
        throw new Error("fault of a notice");
      },
    });
  }

  it("ends the check and its notices alone", async () => {
    let count = 0;
    const reach = buildReach(() => {
      count += 1;
      return Promise.reject(new Error("fault of a round"));
    });
    await reach.verify();
    await reach.verify();
    await new Promise((resolve) => setTimeout(resolve, 400));
    expect(count).toBe(2);
    expect(exceptions.sources).toEqual(Array(6).fill("timer"));
  });

  it("lets a VM become a leader", async () => {
    const side = new ExchangeSide("vm-1", clock);
    jest.spyOn(side.peers, "listZoneLeaders").mockReturnValue([side.self]);
    const reach = buildReach(() => Promise.reject(new Error("fault")));
    const leadership = new ZoneLeadership(
      {
        peers: side.peers,
        balancers: side.balancers,
        limiter: side.limiter,
        log: side.log,
        self: buildExchangeVm("vm-1"),
        clock,
        reach,
        loop: { longestDelayMs: 0, longestQueueMs: 0 },
      } as unknown as ConstructorParameters<typeof ZoneLeadership>[0],
    );
    expect(leadership.update()).toBe(true);
    await waitTurn();
    expect(exceptions.sources).toContain("timer");
  });

  it("does not keep later rounds of the service from running", async () => {
    let faults = 1;
    const service = toId<ServiceId>("s");
    const reach = {
      isInDoubt: true,
      isUnreachable: false,
      reachedAtMs: 0,
      beginRound: (): void => {
        faults -= 1;
        if (faults === 0) {
          throw new Error("fault of a round");
        }
      },
      recordRound: (): string => "none",
    };
    const balancer = { reach, listServers: () => [] };
    const monitor = new ServerReachMonitor(
      {
        clock,
        exceptions,
        log: new ExchangeSide("vm-1", clock).log,
        balancers: { findService: () => balancer },
      } as unknown as ConstructorParameters<typeof ServerReachMonitor>[0],
    );
    await expect(monitor.verifyService(service)).rejects.toThrow("fault");
    await expect(monitor.verifyService(service)).resolves.toBe(true);
  });
});
