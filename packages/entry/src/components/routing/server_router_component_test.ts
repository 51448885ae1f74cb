import { FactBus } from "@limpetford/core/gossip/fact_bus";
import { FleetView } from "@limpetford/core/membership/fleet_view";
import {
  OwnershipView,
  type ShardOwnership,
} from "@limpetford/core/ownership/ownership_view";
import { findServiceShard } from "@limpetford/core/sharding/shard_hash";
import { SeededRandomSource } from "@limpetford/core/time/random_source";
import type { Configuration } from "@limpetford/domain/configuration";
import {
  type ConfigurationVersion,
  type RegionId,
  type RequestId,
  type RouteId,
  type ServerId,
  type ServiceId,
  type TeamId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";
import type { MonotoneFact } from "@limpetford/domain/monotone_fact";
import type { Vm } from "@limpetford/domain/vm";
import { PeerChannels } from "@limpetford/peer/peer_channels";
import { PeerServer } from "@limpetford/peer/peer_server";

import { FixedConfiguration } from "../../fakes/fixed_configuration.ts";
import type { PlacementRequest } from "../../ports/server_router.ts";
import { SystemClock } from "../../vm/system_clock.ts";
import { ServerRouterComponent } from "./server_router_component.ts";

const SERVICE = toId<ServiceId>("calendar");
const GRAY = toId<ServerId>("s1");
const VM_COUNT = 3;
const MAX_ROUNDS = 400;
const ROUND_MS = 10;

class SharedFacts extends FactBus {
  readonly #listeners: ((fact: MonotoneFact) => void)[] = [];

  override publish(fact: MonotoneFact): void {
    this.#listeners.forEach((listener) => {
      listener(fact);
    });
  }

  override subscribe(listener: (fact: MonotoneFact) => void): void {
    this.#listeners.push(listener);
  }
}

class FixedFleet extends FleetView {
  readonly self: Vm;
  readonly vms: Vm[];

  constructor(self: Vm, vms: Vm[]) {
    super();
    this.self = self;
    this.vms = vms;
  }

  override readSelf(): Vm {
    return this.self;
  }

  override listMembers(): readonly Vm[] {
    return this.vms;
  }

  override findVm(): undefined {
    return undefined;
  }

  override isSuspected(): boolean {
    return false;
  }

  override isDropped(): boolean {
    return false;
  }
}

class FixedOwnership extends OwnershipView {
  readonly #self: Vm;
  readonly #vms: readonly Vm[];

  constructor(self: Vm, vms: readonly Vm[]) {
    super();
    this.#self = self;
    this.#vms = vms;
  }

  override findOwnership(): ShardOwnership | undefined {
    const holder = this.#vms[0];
    const shard = findServiceShard(SERVICE);
    return holder === undefined
      ? undefined
      : { shard, epoch: 1, holder, standby: undefined };
  }

  override mayAct(): boolean {
    return this.#self.incarnation.vm === this.#vms[0]?.incarnation.vm;
  }
}

const CONFIGURATION: Configuration = {
  version: toId<ConfigurationVersion>(1),
  services: [{
    id: SERVICE,
    floor: 0.5,
    falseEjectionsPerServerDay: 0.01,
    healthPath: "/health",
  }],
  servers: Array.from({ length: 6 }, (_, index) => ({
    id: toId<ServerId>(`s${index}`),
    service: SERVICE,
    zone: toId<ZoneId>(`z${index % VM_COUNT}`),
    address: { host: "127.0.0.1", port: 1 },
    slots: 3,
    connections: 400,
    state: "active",
  })),
  routes: [{
    id: toId<RouteId>("read"),
    service: SERVICE,
    method: "GET",
    pathPrefix: "/",
    access: "team",
    isIdempotent: true,
    deadlineMs: 2_000,
    bodyLimitBytes: 1_000,
    derivedKeyWindowMs: 0,
  }],
  teams: [],
  keys: [],
};

function makeVm(index: number, port: number): Vm {
  return {
    incarnation: { vm: toId<VmId>(`v${index}`), startedAtMs: 1 },
    zone: toId<ZoneId>(`z${index}`),
    region: toId<RegionId>("r"),
    callerAddress: { host: "127.0.0.1", port: 1 },
    peerAddress: { host: "127.0.0.1", port },
    weight: 1,
  };
}

function makePlacement(fingerprint: string): PlacementRequest {
  const [route] = CONFIGURATION.routes;
  if (route === undefined) {
    throw new Error("no route");
  }
  return {
    context: {
      id: toId<RequestId>("r"),
      route,
      team: toId<TeamId>("t"),
      method: "GET",
      target: "/",
      receivedAtMs: 0,
      deadlineAtMs: 1e12,
      isPassedOn: false,
    },
    fingerprint,
    tried: [],
    attempt: 1,
    isHedge: false,
    signal: new AbortController().signal,
  };
}

async function waitRound(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ROUND_MS));
}

describe("ServerRouterComponent", () => {
  const channels = new PeerChannels();
  const servers: PeerServer[] = [];
  const components: ServerRouterComponent[] = [];

  beforeAll(async () => {
    const facts = new SharedFacts();
    const vms: Vm[] = Array.from(
      { length: VM_COUNT },
      (_, index) => makeVm(index, 0),
    );
    const fleets: FixedFleet[] = [];
    for (let index = 0; index < VM_COUNT; index += 1) {
      const server = new PeerServer();
      servers.push(server);
      const self = makeVm(index, 0);
      const fleet = new FixedFleet(self, vms);
      fleets.push(fleet);
      const component = new ServerRouterComponent({
        clock: new SystemClock(),
        random: new SeededRandomSource(index),
        configuration: new FixedConfiguration(CONFIGURATION),
        fleet,
        ownership: new FixedOwnership(self, vms),
        facts,
        channels,
        server,
      });
      const address = await server.bind(
        { host: "127.0.0.1", port: 0 },
        undefined,
      );
      vms[index] = { ...self, peerAddress: address };
      components.push(component);
    }
  });

  afterAll(async () => {
    await Promise.all(components.map((component) => component.stop()));
    channels.close();
    servers.forEach((server) => {
      server.close();
    });
  });

  it("pools evidence of all VMs and ejects the gray server at each", async () => {
    components[0]?.evidence.acquireShard(findServiceShard(SERVICE), {
      kind: "takeover",
    });
    await Promise.all(components.map((component) => component.start()));
    const isOut = async (): Promise<boolean> => {
      const statuses = await Promise.all(
        components.map((component) => component.readStatus(SERVICE)),
      );
      return statuses.every(({ router }) =>
        router.servers.some(({ server, decision }) =>
          server === GRAY && decision?.mode === "ejected"
        )
      );
    };
    let rounds = 0;
    while (rounds < MAX_ROUNDS && !(await isOut())) {
      rounds += 1;
      for (const component of components) {
        const verdict = await component.router.acquire(makePlacement("f"));
        if (verdict.kind === "placed") {
          const isGray = verdict.placement.server.id === GRAY;
          verdict.placement.complete({
            outcome: isGray ? "failed" : "served",
            firstByteMs: 5,
            totalMs: 5,
            wasConnectionReused: true,
            answerBytes: 10,
          });
        }
      }
      await waitRound();
    }
    expect(await isOut()).toBe(true);
    const status = await components[1]?.readStatus(SERVICE);
    expect(status?.holder?.servers.map(({ server }) => server)).toEqual([GRAY]);
  });

  it("quarantines a fingerprint at all VMs, and releases it", async () => {
    const crash = async (): Promise<void> => {
      const component = components[1];
      const verdict = await component?.router.acquire(makePlacement("bad"));
      if (verdict?.kind === "placed") {
        verdict.placement.complete({
          outcome: "reset-before-first-byte",
          firstByteMs: undefined,
          totalMs: 5,
          wasConnectionReused: true,
          answerBytes: 0,
        });
      }
    };
    const isQuarantined = (): boolean =>
      components.every((component) =>
        component.listQuarantined().includes("bad")
      );
    let crashes = 0;
    while (crashes < MAX_ROUNDS && !isQuarantined()) {
      crashes += 1;
      await crash();
      await waitRound();
    }
    expect(isQuarantined()).toBe(true);
    const verdict = await components[2]?.router.acquire(makePlacement("bad"));
    expect(verdict?.kind).toBe("quarantined");
    expect(components[0]?.withdrawQuarantine("bad")).toBe(true);
    expect(components[2]?.listQuarantined()).toEqual([]);
  });
});
