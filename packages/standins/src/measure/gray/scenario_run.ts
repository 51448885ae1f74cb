/** Simulates one scenario with one routing policy under virtual time. */

import type { SlotUser } from "@limpetford/core/routing/home_slots";
import { SeededRandomSource } from "@limpetford/core/time/random_source";
import {
  type ServerId,
  type ServiceId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";
import type { BackendServer, Service } from "@limpetford/domain/service";

import { FakeServer } from "./fake_server.ts";
import { FaultModel } from "./fault_model.ts";
import type { FleetPolicy, PolicyEnvironment } from "./fleet_policy.ts";
import { type LinkView, RequestDriver } from "./request_driver.ts";
import { RunObserver } from "./run_observer.ts";
import type { RunResult } from "./run_result.ts";
import { isActive, type Scenario, type SiteName, SITES } from "./scenario.ts";
import { type SimulatedRequest, Traffic } from "./traffic.ts";
import { VirtualTime } from "./virtual_time.ts";

const ZONE_COUNT = 3;
/** Slots per server. */
const SLOTS = 3;
/** One-way network delay within a zone. */
const WITHIN_ZONE_DELAY_MS = 0.2;
const OBSERVATION_INTERVAL_MS = 20;
/** Time until a caller resends a request that has ended. */
const CALLER_ROUND_TRIP_MS = 6;
const CRASHING_REQUEST_FINGERPRINT = "crashing-request";
const MS_PER_HOUR = 3_600_000;
/** Keeps random sequences of neighbouring seeds distinct. */
const SEED_STRIDE = 1_000;

/** Scenario, size, seed and policy of a run. */
export interface ScenarioRunOptions {
  readonly scenario: Scenario;
  readonly site: SiteName;
  readonly seed: number;
  readonly createPolicy: (environment: PolicyEnvironment) => FleetPolicy;
}

/**
 * Runs a scenario once. Equal options give equal results.
 *
 * @param options - scenario, size, seed and policy
 * @returns metrics of the run
 */
export function runScenario(options: ScenarioRunOptions): RunResult {
  return new ScenarioRun(options).run();
}

/** Fleet, traffic and observer of one run. */
class ScenarioRun {
  readonly #options: ScenarioRunOptions;
  readonly #time = new VirtualTime();
  readonly #random: SeededRandomSource;
  readonly #servers: readonly BackendServer[];
  readonly #vms: readonly SlotUser[];
  readonly #faults: FaultModel;
  readonly #fakes: ReadonlyMap<ServerId, FakeServer>;
  readonly #policy: FleetPolicy;
  readonly #driver: RequestDriver;
  readonly #traffic: Traffic;
  readonly #observer: RunObserver;
  /** Opening time in milliseconds of each connection, by VM and server. */
  readonly #connectionOpenedAtMs = new Map<string, number>();
  #assignableServers: readonly BackendServer[];
  #firstAttempts = 0;
  #extraAttempts = 0;

  constructor(options: ScenarioRunOptions) {
    this.#options = options;
    const { scenario, site, seed } = options;
    const size = SITES[site];
    this.#random = new SeededRandomSource(seed * SEED_STRIDE + scenario.seed);
    this.#servers = createServers(size.servers, size.connections);
    this.#assignableServers = this.#servers;
    this.#vms = createVms(scenario.vms);
    this.#faults = new FaultModel(scenario, this.#servers, seed);
    this.#fakes = this.#createFakes();
    this.#policy = options.createPolicy(this.#createEnvironment());
    this.#driver = this.#createDriver();
    this.#traffic = new Traffic({
      scenario,
      serverCount: size.servers,
      time: this.#time,
      random: new SeededRandomSource(seed * SEED_STRIDE + scenario.seed + 1),
      send: (request) => {
        this.#send(request);
      },
    });
    this.#observer = new RunObserver({
      policy: this.#policy,
      faults: this.#faults,
      vms: this.#vms,
      usedVms: [...new Set(this.#traffic.teams.flatMap((team) => team.vms))],
      teams: this.#traffic.teams,
      onsetMs: this.#computeOnsetMs(),
    });
  }

  run(): RunResult {
    const { scenario, seed } = this.#options;
    this.#policy.start();
    this.#traffic.start();
    this.#scheduleFaults();
    this.#time.scheduleEvery(OBSERVATION_INTERVAL_MS, () => {
      const nowMs = this.#time.readMonotonicMs();
      this.#observer.observe(this.#assignableServers, nowMs);
    });
    this.#time.run(scenario.durationMs);
    const fakes = [...this.#fakes.values()];
    return {
      policy: this.#policy.name,
      seed,
      detectionMs: this.#observer.listDetections(),
      falseEjections: this.#observer.falseEjections,
      serverHours: this.#servers.length * scenario.durationMs / MS_PER_HOUR,
      leastCapacity: this.#observer.leastCapacity,
      teams: this.#observer.listTeams(),
      wrongfulRefusals: this.#observer.wrongfulRefusals,
      withinRate: this.#observer.withinRate,
      firstAttempts: this.#firstAttempts,
      extraAttempts: this.#extraAttempts,
      slotOverruns: fakes.reduce((sum, fake) => sum + fake.countQueued(), 0),
      probeCostMs: this.#policy.sumProbeCostMs(),
      controlBytesPerVmSecond: this.#policy.countControlBytes() * 1_000 /
        (scenario.durationMs * scenario.vms),
      crashedServers: fakes.filter((fake) => fake.countCrashes() > 0).length,
      timeline: this.#observer.listTimeline(),
    };
  }

  #computeOnsetMs(): number {
    const onsets = this.#options.scenario.faults.map((fault) => fault.onsetMs);
    return onsets.length === 0 ? 0 : Math.min(...onsets);
  }

  #createFakes(): ReadonlyMap<ServerId, FakeServer> {
    return new Map(this.#servers.map((record) => [
      record.id,
      new FakeServer({
        record,
        time: this.#time,
        random: this.#random,
        faults: this.#faults,
      }),
    ]));
  }

  #createEnvironment(): PolicyEnvironment {
    const { scenario, site } = this.#options;
    const size = SITES[site];
    const service: Service = {
      id: toId<ServiceId>(site),
      floor: scenario.floor,
      falseEjectionsPerServerDay: size.falseEjectionsPerServerDay,
      healthPath: "/health",
    };
    return {
      time: this.#time,
      random: this.#random,
      service,
      servers: this.#servers,
      vms: this.#vms,
      computeDelayMs: (from, to) =>
        from.zone === to.zone ? WITHIN_ZONE_DELAY_MS : size.zoneDelayMs,
      isHolderCut: () =>
        scenario.faults.some((fault) =>
          fault.kind === "holder-cut" &&
          isActive(fault, this.#time.readMonotonicMs())
        ),
      probe: (server, deliver) => {
        this.#findFake(server).probe(deliver);
      },
    };
  }

  #createDriver(): RequestDriver {
    return new RequestDriver({
      time: this.#time,
      policy: this.#policy,
      findServer: (id) => this.#findFake(id),
      takeLink: (vm, server) => this.#takeLink(vm, server),
      handleAttempt: (_server, isExtra) => {
        this.#firstAttempts += isExtra ? 0 : 1;
        this.#extraAttempts += isExtra ? 1 : 0;
      },
      handleAttemptEnd: (vm, server, outcome) => {
        const key = `${vm}|${server.id}`;
        if (outcome !== "served") {
          this.#connectionOpenedAtMs.delete(key);
        } else if (!this.#connectionOpenedAtMs.has(key)) {
          this.#connectionOpenedAtMs.set(key, this.#time.readMonotonicMs());
        }
      },
    });
  }

  #findFake(id: ServerId): FakeServer {
    const fake = this.#fakes.get(id);
    if (fake === undefined) {
      throw new RangeError(`the scenario has no server "${id}"`);
    }
    return fake;
  }

  #takeLink(vm: number, server: BackendServer): LinkView {
    const nowMs = this.#time.readMonotonicMs();
    const openedAtMs = this.#connectionOpenedAtMs.get(`${vm}|${server.id}`);
    const user = this.#vms[vm];
    const size = SITES[this.#options.site];
    const isSameZone = user?.zone === server.zone;
    const link = user === undefined
      ? "open"
      : this.#faults.describeLink({ index: vm, user }, server, nowMs);
    const isSilent = openedAtMs !== undefined &&
      this.#isSilent(vm, server, openedAtMs);
    return {
      delayMs: isSameZone ? WITHIN_ZONE_DELAY_MS : size.zoneDelayMs,
      state: link === "open" && isSilent ? "silent" : link,
      wasConnectionReused: openedAtMs !== undefined,
    };
  }

  #isSilent(vm: number, server: BackendServer, openedAtMs: number): boolean {
    const nowMs = this.#time.readMonotonicMs();
    const { vms } = this.#options.scenario;
    return this.#faults.listPlaced().some(({ fault, servers, firstVm }) =>
      fault.kind === "silent-connections" && servers.has(server.id) &&
      nowMs >= fault.onsetMs && openedAtMs < fault.onsetMs &&
      (vm - firstVm % vms + vms) % vms < fault.vms
    );
  }

  #send(request: SimulatedRequest): void {
    const sentAtMs = this.#time.readMonotonicMs();
    this.#driver.run(request, (outcome, latencyMs) => {
      this.#observer.recordLatency(latencyMs, this.#time.readMonotonicMs());
      if (sentAtMs >= this.#computeOnsetMs()) {
        this.#observer.record(request, outcome, latencyMs);
      }
    });
  }

  #scheduleFaults(): void {
    for (const { fault, servers } of this.#faults.listPlaced()) {
      this.#time.schedule(fault.onsetMs, () => {
        if (fault.kind === "drain") {
          this.#assignableServers = this.#assignableServers.filter((server) =>
            !servers.has(server.id)
          );
          this.#policy.setServers(this.#assignableServers);
        } else if (fault.kind === "crash") {
          for (const server of servers) {
            this.#findFake(server).reset();
          }
        } else if (fault.kind === "crashing-request") {
          this.#sendCrashing(fault.resends);
        }
      });
    }
  }

  #sendCrashing(resends: number): void {
    const request: SimulatedRequest = {
      fingerprint: CRASHING_REQUEST_FINGERPRINT,
      team: toId("team-7"),
      route: toId("read"),
      isIdempotent: true,
      deadlineMs: 2_000,
      vm: this.#random.pickIndex(this.#vms.length),
      serviceMs: 20,
      answerBytes: 0,
      isCrashing: true,
      isWithinRate: true,
    };
    this.#driver.run(request, () => {
      if (resends > 1) {
        this.#time.schedule(CALLER_ROUND_TRIP_MS, () => {
          this.#sendCrashing(resends - 1);
        });
      }
    });
  }
}

function createServers(
  count: number,
  connections: number,
): readonly BackendServer[] {
  return Array.from({ length: count }, (_, index) => ({
    id: toId<ServerId>(`server-${index}`),
    service: toId<ServiceId>("service"),
    zone: toId<ZoneId>(`zone-${index % ZONE_COUNT}`),
    address: { host: "127.0.0.1", port: index + 1 },
    slots: SLOTS,
    connections,
    state: "active",
  }));
}

function createVms(count: number): readonly SlotUser[] {
  return Array.from({ length: count }, (_, index) => ({
    vm: toId<VmId>(`vm-${index}`),
    zone: toId<ZoneId>(`zone-${index % ZONE_COUNT}`),
  }));
}
