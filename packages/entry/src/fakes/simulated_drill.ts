/** A fleet, its store, operator and backend servers, for drills of the store. */

import { FakeClock } from "@limpetford/core/time/fake_clock";
import { SeededRandomSource } from "@limpetford/core/time/random_source";
import {
  buildAnnouncementDocument,
  buildConfigurationDocument,
} from "@limpetford/platform/fakes/published_documents";
import { CONFIGURATION_KEY } from "@limpetford/platform/store/wire_names";

import type { SimulatedServer } from "./simulated_server.ts";
import { SimulatedStore } from "./simulated_store.ts";
import { REVOCATION_MS, SimulatedVm } from "./simulated_vm.ts";

const TICK_MS = 100;
const VM_COUNT = 4;
/** Time in which writers write again what the store has lost. */
const MAX_REWRITE_MS = 2_000;
/** Ticks between two calls of a VM to the first one. */
const CALL_TICKS = 5;
const HEARTBEAT_MS = 1_500;
/** Silence after which the store removes a server. */
const LAPSE_MS = 4_500;
const SETTLE_MS = 12_000;
const MAX_CALLS_PER_VM_AND_SECOND = 15;

/** What happens next. */
export type DrillStep =
  | "publish"
  | "copy"
  | "return"
  | "away"
  | "join"
  | "leave"
  | "die"
  | "restart"
  | "cut"
  | "none";

/** Runs VMs and a store in steps of 100 ms, and checks what they do. */
export class SimulatedDrill {
  /** A message for each broken rule. */
  readonly violations: string[] = [];
  readonly #clock = new FakeClock();
  readonly #random: SeededRandomSource;
  readonly #store = new SimulatedStore();
  readonly #servers: SimulatedServer[] = [];
  readonly #acknowledgedAtMs = new Map<number, number>();
  readonly #vms: SimulatedVm[] = [];
  #version = 0;
  #tick = 0;
  #rewriteAtMs = Infinity;
  #backAtMs = -Infinity;
  #awayUntilMs = -Infinity;

  /**
   * Starts the VMs, which have read the first version at the end.
   *
   * @param seed - seed of what is random
   */
  constructor(seed: number) {
    this.#random = new SeededRandomSource(seed);
    this.#clock.advance(10_000);
    for (let index = 0; index < VM_COUNT; index++) {
      this.#vms.push(new SimulatedVm(index, this.#clock, { startedAtMs: 1 }));
    }
    this.#publish();
    this.#store.takeCopy();
    for (let index = 0; index < 3; index++) {
      this.#addServer();
    }
    this.advance(3_000);
  }

  /**
   * Takes one step, and lets up to 1 s pass.
   *
   * @param step - what happens
   */
  run(step: DrillStep): void {
    switch (step) {
      case "publish":
        this.#publish();
        break;
      case "copy":
        this.#store.takeCopy();
        break;
      case "return":
        this.#returnFromCopy();
        break;
      case "away":
        this.#awayUntilMs = this.#readMs() + 700;
        break;
      case "join":
        this.#addServer();
        break;
      case "leave":
        this.#setLeaving();
        break;
      case "die":
        this.#stopServer();
        break;
      case "restart":
        this.#startVmAgain();
        break;
      case "cut":
        this.#setCut();
        break;
      case "none":
        break;
    }
    this.advance(100 + this.#random.pickIndex(9) * TICK_MS);
  }

  /**
   * Lets the store be away and return from a copy in which nothing is missing.
   *
   * @param awayMs - time for which it is away, in milliseconds
   * @returns number of VMs that accept no key, summed over steps of 100 ms
   */
  countRefusalsAround(awayMs: number): number {
    this.#store.takeCopy();
    this.#awayUntilMs = Infinity;
    const refusals = this.#countRefusals(awayMs);
    this.#awayUntilMs = -Infinity;
    this.#store.isAway = false;
    this.#returnFromCopy();
    return refusals + this.#countRefusals(SETTLE_MS);
  }

  #countRefusals(forMs: number): number {
    let refusals = 0;
    for (let passedMs = 0; passedMs < forMs; passedMs += TICK_MS) {
      this.advance(TICK_MS);
      refusals += this.#vms.filter((vm) => vm.findAcceptedVersion() < 0).length;
    }
    return refusals;
  }

  /** Runs without faults until everything must be known everywhere. */
  settle(): void {
    for (const vm of this.#vms) {
      vm.isCut = false;
    }
    this.advance(SETTLE_MS);
    const callsBefore = this.#store.calls;
    this.advance(2_000);
    const perSecond = (this.#store.calls - callsBefore) / 2 / VM_COUNT;
    if (perSecond > MAX_CALLS_PER_VM_AND_SECOND) {
      this.violations.push(`${perSecond} calls a second for each VM`);
    }
    const living = this.#servers.filter(({ isGone }) => !isGone)
      .map(({ id, isLeaving }) => `${id} ${isLeaving ? "leaving" : "active"}`)
      .sort().join();
    for (const [index, vm] of this.#vms.entries()) {
      const listed = vm.state.servers.listServers()
        .map(({ id, state }) => `${id} ${state}`).sort().join();
      if (listed !== living) {
        this.violations.push(`vm-${index} lists ${listed}, not ${living}`);
      }
      if (vm.findAcceptedVersion() !== this.#version) {
        this.violations.push(
          `vm-${index} has ${vm.findAcceptedVersion()}, not ${this.#version}`,
        );
      }
    }
  }

  /**
   * Lets time pass.
   *
   * @param forMs - milliseconds, a multiple of 100
   */
  advance(forMs: number): void {
    for (let passedMs = 0; passedMs < forMs; passedMs += TICK_MS) {
      this.#clock.advance(TICK_MS);
      this.#store.isAway = this.#readMs() < this.#awayUntilMs;
      if (!this.#store.isAway) {
        this.#writeRecords();
      }
      this.#vms.forEach((vm) => {
        this.#runVm(vm);
      });
      this.#sendMessages();
      this.#checkKeys();
      this.#checkServers();
    }
  }

  #runVm(vm: SimulatedVm): void {
    const nowMs = this.#readMs();
    vm.servers.expireRemoved();
    const isRefused = vm.isCut || this.#store.isAway;
    const { configuration, servers } = this.#store;
    for (
      const [handler, topic] of [
        [vm.configuration, configuration],
        [vm.servers, servers],
      ] as const
    ) {
      if (handler.readDueInMs() <= 0) {
        if (isRefused) {
          handler.recordFailure();
        } else {
          this.#store.read(handler, topic, nowMs);
        }
      }
    }
  }

  // Each VM calls the first one twice a second, and now and then another one.
  #sendMessages(): void {
    this.#tick += 1;
    const [first] = this.#vms;
    const [a, b] = [this.#pickVm(), this.#pickVm()];
    this.#sendBothWays(a, b);
    for (const [index, vm] of this.#vms.entries()) {
      if (first !== undefined && (this.#tick + index) % CALL_TICKS === 0) {
        this.#sendBothWays(vm, first);
      }
    }
  }

  #sendBothWays(a: SimulatedVm, b: SimulatedVm): void {
    if (a !== b && !a.isCut && !b.isCut) {
      a.sendBothWays(b, this.#readMs());
    }
  }

  // Each version's key works only with that version.
  #checkKeys(): void {
    const nowMs = this.#readMs();
    for (const [index, vm] of this.#vms.entries()) {
      const version = vm.state.active?.configuration.version ?? -1;
      if (version < vm.highestVersion) {
        this.violations.push(`vm-${index} went back to version ${version}`);
      }
      vm.highestVersion = Math.max(vm.highestVersion, version);
      const accepted = vm.findAcceptedVersion();
      for (const [later, atMs] of this.#acknowledgedAtMs) {
        if (
          accepted >= 0 && later > accepted && nowMs > atMs + REVOCATION_MS
        ) {
          this.violations.push(
            `vm-${index} accepts the key of version ${accepted} ` +
              `${nowMs - atMs} ms after version ${later}`,
          );
        }
      }
    }
  }

  // Servers of the simulation never start again, so none turns back, and none
  // that is running disappears.
  #checkServers(): void {
    for (const [index, vm] of this.#vms.entries()) {
      const listed = new Map(
        vm.state.servers.listServers().map(({ id, state }) => [
          id as string,
          state as string,
        ]),
      );
      for (const { id, isGone } of this.#servers) {
        const before = vm.lastStates.get(id);
        const state = listed.get(id) ?? (before && "gone");
        if (before !== undefined && before !== state && state === "active") {
          this.violations.push(`vm-${index} lists ${id} again after ${before}`);
        }
        if (!isGone && before !== undefined && state === "gone") {
          this.violations.push(`vm-${index} dropped the running ${id}`);
        }
        if (state !== undefined) {
          vm.lastStates.set(id, state);
        }
      }
    }
  }

  #writeRecords(): void {
    const nowMs = this.#readMs();
    if (nowMs >= this.#rewriteAtMs) {
      this.#rewriteAtMs = Infinity;
      this.#appendConfiguration();
    }
    for (const server of this.#servers) {
      this.#writeServer(server, nowMs);
    }
  }

  #writeServer(server: SimulatedServer, nowMs: number): void {
    const { servers } = this.#store;
    const newest = servers.records.findLast(({ key }) => key === server.id);
    const isListed = newest?.value !== undefined;
    if (!server.isGone) {
      if (nowMs >= server.nextHeartbeatMs) {
        server.nextHeartbeatMs = nowMs + HEARTBEAT_MS;
        server.sequence += 1;
        const { id, sequence, isLeaving } = server;
        const document = buildAnnouncementDocument(sequence, isLeaving);
        this.#store.append(servers, id, document);
      }
    } else if (
      isListed && nowMs - server.nextHeartbeatMs > LAPSE_MS &&
      nowMs - this.#backAtMs > LAPSE_MS
    ) {
      this.#store.append(servers, server.id, undefined);
    }
  }

  #returnFromCopy(): void {
    // What writers had to write again is written before the next drill.
    if (this.#rewriteAtMs < Infinity || this.#store.isAway) {
      return;
    }
    this.#store.returnFromCopy();
    this.#backAtMs = this.#readMs();
    this.#rewriteAtMs = this.#readMs() +
      this.#random.pickIndex(MAX_REWRITE_MS / TICK_MS) * TICK_MS;
  }

  #publish(): void {
    if (this.#store.isAway || this.#rewriteAtMs < Infinity) {
      return;
    }
    this.#version += 1;
    this.#appendConfiguration();
    this.#acknowledgedAtMs.set(this.#version, this.#readMs());
  }

  #appendConfiguration(): void {
    const version = this.#version;
    this.#store.append(
      this.#store.configuration,
      CONFIGURATION_KEY,
      buildConfigurationDocument(version),
    );
  }

  #addServer(): void {
    this.#servers.push({
      id: `s${this.#servers.length}`,
      sequence: 0,
      isLeaving: false,
      isGone: false,
      nextHeartbeatMs: 0,
    });
  }

  #setLeaving(): void {
    const server = this.#pickServer();
    server.isLeaving = true;
    server.nextHeartbeatMs = 0;
  }

  #stopServer(): void {
    const server = this.#pickServer();
    server.isGone = true;
    server.nextHeartbeatMs = this.#readMs();
  }

  #startVmAgain(): void {
    const index = this.#random.pickIndex(VM_COUNT);
    const startedAtMs = this.#readMs();
    this.#vms[index] = new SimulatedVm(index, this.#clock, { startedAtMs });
  }

  #setCut(): void {
    const vm = this.#pickVm();
    vm.isCut = !vm.isCut;
  }

  #pickVm(): SimulatedVm {
    const vm = this.#vms[this.#random.pickIndex(VM_COUNT)];
    if (vm === undefined) {
      throw new Error("the drill has no VM");
    }
    return vm;
  }

  #pickServer(): SimulatedServer {
    const server = this.#servers[
      this.#random.pickIndex(this.#servers.length)
    ];
    if (server === undefined) {
      throw new Error("the drill has no backend server");
    }
    return server;
  }

  #readMs(): number {
    return this.#clock.readMonotonicMs();
  }
}
