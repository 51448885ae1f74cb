/** A fleet whose backend servers leave while VMs are late to hear of it. */

import { FakeClock } from "@limpetford/core/time/fake_clock";
import { SeededRandomSource } from "@limpetford/core/time/random_source";
import { buildAnnouncementDocument } from "@limpetford/platform/fakes/published_documents";

import { SERVERS_AGE_SHARES } from "../fleet/store_read_schedule.ts";
import { SimulatedStore } from "./simulated_store.ts";
import { SimulatedVm } from "./simulated_vm.ts";

const TICK_MS = 50;
const LEADER_COUNT = 3;
const VM_COUNT = 12;
const SERVER_COUNT = 60;
/** Longest time between two exchanges of a follower with its leader. */
const FOLLOWER_INTERVAL_MS = 750;
const LEADER_INTERVAL_MS = 500;
/** Longest time between two checks whether a read is due. */
const CHECK_INTERVAL_MS = 250;
const MAX_RETRY_MS = 1_000;
const MAX_JITTER_SHARE = 0.05;
/** Added to the time to drain: how long nothing is expected after a trouble. */
const EXTRA_STABILITY_MS = 1_000;
const TROUBLE_MS = 5_000;
const TROUBLE_CHANCE = 0.02;
const DEPARTURE_CHANCE = 0.1;

/** What happens, and what is allowed. */
export interface DepartureDrillOptions {
  readonly seed: number;
  /** Time within which a server that left must be out of use. */
  readonly drainMs: number;
  /** What befalls VMs: leaders stop, or the store refuses some VMs. */
  readonly trouble: "leaders-stop" | "store-refuses";
}

interface DrillVm {
  readonly vm: SimulatedVm;
  nextCheckAtMs: number;
  nextExchangeAtMs: number;
  troubledUntilMs: number;
}

/** Runs the VMs in steps, and checks how long they use servers that have left. */
export class DepartureDrill {
  /** A message for each VM and server that it used for too long. */
  readonly violations = new Set<string>();
  readonly #options: DepartureDrillOptions;
  readonly #clock = new FakeClock();
  readonly #random: SeededRandomSource;
  readonly #store = new SimulatedStore();
  readonly #vms: readonly DrillVm[];
  readonly #leftAtMs = new Map<string, number>();

  /**
   * Announces all servers, and lets all VMs read of them.
   *
   * @param options - seed, bound and trouble
   */
  constructor(options: DepartureDrillOptions) {
    this.#options = options;
    this.#random = new SeededRandomSource(options.seed);
    this.#clock.advance(10_000);
    for (let index = 0; index < SERVER_COUNT; index++) {
      const document = buildAnnouncementDocument(1, false);
      this.#store.append(this.#store.servers, `s${index}`, document);
    }
    this.#vms = Array.from({ length: VM_COUNT }, (_, index) => ({
      vm: this.#buildVm(index),
      nextCheckAtMs: 0,
      nextExchangeAtMs: 0,
      troubledUntilMs: -Infinity,
    }));
  }

  /** Lets every server leave, one after the other. */
  run(): void {
    while (this.#leftAtMs.size < SERVER_COUNT) {
      this.#clock.advance(TICK_MS);
      this.#removeServer();
      this.#beginTrouble();
      for (const [index, one] of this.#vms.entries()) {
        if (!this.#hasStopped(one)) {
          one.vm.servers.expireRemoved();
          this.#readIfDue(one);
          this.#sendIfDue(one, index);
        }
        this.#checkServers(one, index);
      }
    }
  }

  #buildVm(index: number): SimulatedVm {
    const { first, later, step, last } = SERVERS_AGE_SHARES;
    const share = index === 0
      ? first
      : index < LEADER_COUNT
      ? later + (index - 1) * step
      : last + this.#random.sampleUniform() * MAX_JITTER_SHARE;
    const vm = new SimulatedVm(index, this.#clock, {
      startedAtMs: 1,
      reads: {
        configurationMaxAgeMs: Infinity,
        serversMaxAgeMs: share * this.#options.drainMs,
      },
    });
    this.#store.read(vm.servers, this.#store.servers, this.#readMs());
    return vm;
  }

  #removeServer(): void {
    if (this.#random.sampleUniform() < DEPARTURE_CHANCE) {
      const id = `s${this.#leftAtMs.size}`;
      this.#store.append(this.#store.servers, id, undefined);
      this.#leftAtMs.set(id, this.#readMs());
    }
  }

  #beginTrouble(): void {
    if (this.#random.sampleUniform() >= TROUBLE_CHANCE) {
      return;
    }
    const count = this.#options.trouble === "leaders-stop"
      ? LEADER_COUNT
      : VM_COUNT;
    const one = this.#vms[this.#random.pickIndex(count)];
    if (one !== undefined) {
      one.troubledUntilMs = this.#readMs() +
        this.#random.sampleUniform() * TROUBLE_MS;
    }
  }

  #readIfDue(one: DrillVm): void {
    const nowMs = this.#readMs();
    const { servers } = one.vm;
    if (nowMs < one.nextCheckAtMs) {
      return;
    }
    one.nextCheckAtMs = nowMs + CHECK_INTERVAL_MS;
    if (servers.readDueInMs() > 0) {
      return;
    }
    if (nowMs < one.troubledUntilMs) {
      servers.recordFailure();
      one.nextCheckAtMs = nowMs + MAX_RETRY_MS;
      return;
    }
    this.#store.read(servers, this.#store.servers, nowMs);
  }

  // Leaders exchange messages with each other, any other VM with its leader.
  #sendIfDue(one: DrillVm, index: number): void {
    const nowMs = this.#readMs();
    if (nowMs < one.nextExchangeAtMs) {
      return;
    }
    const isLeader = index < LEADER_COUNT;
    one.nextExchangeAtMs = nowMs +
      (isLeader ? LEADER_INTERVAL_MS : FOLLOWER_INTERVAL_MS);
    const partners = isLeader
      ? this.#vms.slice(0, LEADER_COUNT)
      : this.#vms.slice(index % LEADER_COUNT, index % LEADER_COUNT + 1);
    for (const other of partners) {
      if (other !== one && !this.#hasStopped(other)) {
        one.vm.sendBothWays(other.vm, nowMs);
      }
    }
  }

  #checkServers({ vm, troubledUntilMs }: DrillVm, index: number): void {
    const nowMs = this.#readMs();
    const { drainMs } = this.#options;
    if (nowMs < troubledUntilMs + drainMs + EXTRA_STABILITY_MS) {
      return;
    }
    for (const { id } of vm.state.servers.listServers()) {
      const usedForMs = nowMs - (this.#leftAtMs.get(id) ?? nowMs);
      if (usedForMs > drainMs) {
        this.violations.add(`vm-${index} uses ${id} after it has left`);
      }
    }
  }

  #hasStopped({ troubledUntilMs }: DrillVm): boolean {
    return this.#options.trouble === "leaders-stop" &&
      this.#readMs() < troubledUntilMs;
  }

  #readMs(): number {
    return this.#clock.readMonotonicMs();
  }
}
