import * as fc from "fast-check";

import { SuspicionRegistry } from "./suspicion_registry.ts";

const CRASHING = "crashing";
const POPULAR = "popular";
const CRASH_DELAY_MS = 60;
/** Time within which the fleet must react, and to be in touch again. */
const STABILITY_MS = 3_000;
const ALLOWED_LATE_RUNS = 3;
/** Time after which a VM that hears of no other reads and writes the store. */
const ISOLATED_SYNC_MS = 2_000;
const VM_COUNT = 6;
/** Crashes in a row that don't yet quarantine while other servers crash. */
const MAX_UNSERVED = 2;

type Step =
  | { readonly kind: "send"; readonly vm: number }
  | { readonly kind: "serve"; readonly vm: number }
  | { readonly kind: "other-crash"; readonly vm: number }
  | { readonly kind: "unserved-crash"; readonly vm: number }
  | { readonly kind: "restart"; readonly vm: number }
  | { readonly kind: "restart-all" }
  | { readonly kind: "cut"; readonly vm: number; readonly steps: number }
  | { readonly kind: "store-away"; readonly steps: number };

interface ScheduledStep {
  readonly step: Step;
  readonly waitMs: number;
}

const vmIndex = fc.integer({ min: 0, max: VM_COUNT - 1 });
const steps = fc.integer({ min: 1, max: 12 });
const scheduledStep: fc.Arbitrary<ScheduledStep> = fc.record({
  waitMs: fc.integer({ min: 20, max: 800 }),
  step: fc.oneof(
    {
      weight: 12,
      arbitrary: fc.record({ kind: fc.constant("send"), vm: vmIndex }),
    },
    {
      weight: 6,
      arbitrary: fc.record({ kind: fc.constant("serve"), vm: vmIndex }),
    },
    fc.record({ kind: fc.constant("other-crash"), vm: vmIndex }),
    fc.record({ kind: fc.constant("restart"), vm: vmIndex }),
    fc.record({ kind: fc.constant("restart-all") }),
    fc.record({ kind: fc.constant("cut"), vm: vmIndex, steps }),
    fc.record({ kind: fc.constant("store-away"), steps }),
  ),
});

// Crashes by coincidence, after which no server serves the popular request for a
// while, and VMs that start again or are cut off meanwhile.
const coincidentStep: fc.Arbitrary<ScheduledStep> = fc.record({
  waitMs: fc.integer({ min: 20, max: 800 }),
  step: fc.oneof(
    {
      weight: 4,
      arbitrary: fc.record({
        kind: fc.constant("unserved-crash"),
        vm: vmIndex,
      }),
    },
    fc.record({ kind: fc.constant("serve"), vm: vmIndex }),
    fc.record({ kind: fc.constant("restart"), vm: vmIndex }),
    fc.record({ kind: fc.constant("restart-all") }),
    fc.record({ kind: fc.constant("cut"), vm: vmIndex, steps }),
  ),
});

// One VM: what it knows is lost when it restarts.
class SimulatedVm {
  registry = new SuspicionRegistry();
  cutForSteps = 0;
  startedAtMs = -Infinity;
  syncedAtMs = -Infinity;
}

// A fleet that sends a crashing request and a popular harmless one. Between two
// steps the VMs exchange what they know unless they are cut off from each other,
// and the store keeps quarantines unless it is away.
class SimulatedFleet {
  lateRuns = 0;
  popularRefusals = 0;
  readonly #vms = Array.from({ length: VM_COUNT }, () => new SimulatedVm());
  readonly #store = new SuspicionRegistry();
  #storeAwayForSteps = 0;
  #storeBackAtMs = -Infinity;
  #nowMs = 10_000;
  #crashes = 0;
  #thirdCrashAtMs = Infinity;

  run({ step, waitMs }: ScheduledStep): void {
    this.#applyStep(step);
    this.#advance(waitMs);
  }

  #applyStep(step: Step): void {
    switch (step.kind) {
      case "send":
        this.#send(step.vm);
        return;
      case "serve":
        this.#serve(step.vm);
        return;
      case "other-crash":
        this.#stopServerWithPopular(step.vm);
        this.#getVm(step.vm).registry.recordServed(POPULAR, this.#nowMs);
        return;
      case "unserved-crash":
        if (this.#countUnserved() < MAX_UNSERVED) {
          this.#stopServerWithout(step.vm);
          this.#stopServerWithPopular(step.vm);
        }
        return;
      case "restart":
        this.#startAgain(step.vm);
        return;
      case "restart-all":
        this.#vms.forEach((_, index) => {
          this.#startAgain(index);
        });
        return;
      case "cut":
        this.#getVm(step.vm).cutForSteps = step.steps;
        return;
      case "store-away":
        this.#storeAwayForSteps = step.steps;
        return;
    }
  }

  #send(index: number): void {
    const vm = this.#getVm(index);
    const isHeld = vm.registry.computeHoldMs(CRASHING, this.#nowMs) > 0;
    if (isHeld || vm.registry.findStatus(CRASHING) === "quarantined") {
      return;
    }
    const isInTouch = this.#storeAwayForSteps === 0 &&
      this.#nowMs - this.#storeBackAtMs > STABILITY_MS &&
      this.#nowMs - vm.startedAtMs > STABILITY_MS;
    if (isInTouch && this.#nowMs > this.#thirdCrashAtMs + STABILITY_MS) {
      this.lateRuns += 1;
    }
    this.#nowMs += CRASH_DELAY_MS;
    this.#crashes += 1;
    if (this.#crashes === 3) {
      this.#thirdCrashAtMs = this.#nowMs;
    }
    vm.registry.recordCrash(
      `s${this.#crashes}`,
      [{
        fingerprint: CRASHING,
        id: `run-${this.#crashes}`,
        sentAtMs: this.#nowMs - CRASH_DELAY_MS,
        endedAtMs: this.#nowMs,
        wasServerRunning: vm.registry.findStatus(CRASHING) === "suspect",
      }],
      this.#nowMs,
    );
  }

  #serve(index: number): void {
    const vm = this.#getVm(index);
    if (vm.registry.findStatus(POPULAR) === "quarantined") {
      this.popularRefusals += 1;
    }
    vm.registry.recordServed(POPULAR, this.#nowMs);
  }

  // Runs of the popular request that crashes ended since it was served last, as
  // far as anybody knows.
  #countUnserved(): number {
    const registries = [this.#store, ...this.#vms.map((vm) => vm.registry)];
    const known = registries.map((registry) => registry.find(POPULAR));
    const ids = new Map<number, Set<string>>();
    for (const suspicion of known.filter((one) => one !== undefined)) {
      const { generation, runs } = suspicion;
      const all = ids.get(generation) ?? new Set();
      ids.set(generation, all);
      runs.forEach(({ id }) => all.add(id));
    }
    return Math.max(0, ...[...ids.values()].map(({ size }) => size));
  }

  // VMs in touch hear of it, those that start later don't.
  #stopServerWithout(index: number): void {
    const { cutForSteps } = this.#getVm(index);
    const inTouch = this.#vms.filter((vm, other) =>
      other === index || (cutForSteps === 0 && vm.cutForSteps === 0)
    );
    for (const { registry } of inTouch) {
      registry.recordServerCrash(`without-${this.#nowMs}`, this.#nowMs);
    }
  }

  // A server fails by itself while it runs the popular request.
  #stopServerWithPopular(index: number): void {
    const vm = this.#getVm(index);
    vm.registry.recordCrash(
      `other-${this.#nowMs}`,
      [{
        fingerprint: POPULAR,
        id: `other-run-${this.#nowMs}`,
        sentAtMs: this.#nowMs - 50,
        endedAtMs: this.#nowMs,
        wasServerRunning: vm.registry.findStatus(POPULAR) === "suspect",
      }],
      this.#nowMs,
    );
  }

  #startAgain(index: number): void {
    const vm = this.#getVm(index);
    vm.registry = new SuspicionRegistry();
    vm.startedAtMs = this.#nowMs;
  }

  #advance(waitMs: number): void {
    this.#nowMs += waitMs;
    this.#storeAwayForSteps = Math.max(0, this.#storeAwayForSteps - 1);
    if (this.#storeAwayForSteps > 0) {
      this.#storeBackAtMs = this.#nowMs;
    }
    for (const { registry } of this.#vms) {
      registry.settle(this.#nowMs);
    }
    const connected = this.#vms.filter((vm) => vm.cutForSteps === 0);
    for (const from of connected) {
      for (const to of connected) {
        this.#merge(from.registry, to.registry);
      }
    }
    for (const vm of this.#vms) {
      const isDue = vm.cutForSteps === 0 ||
        this.#nowMs - vm.syncedAtMs > ISOLATED_SYNC_MS;
      vm.cutForSteps = Math.max(0, vm.cutForSteps - 1);
      if (isDue && this.#storeAwayForSteps === 0) {
        vm.syncedAtMs = this.#nowMs;
        this.#merge(vm.registry, this.#store);
        this.#merge(this.#store, vm.registry);
      }
    }
  }

  #merge(from: SuspicionRegistry, to: SuspicionRegistry): void {
    from.list().forEach((one) => to.apply(one, this.#nowMs));
  }

  #getVm(index: number): SimulatedVm {
    const vm = this.#vms[index];
    if (vm === undefined) {
      throw new Error(`there is no VM with index ${index}`);
    }
    return vm;
  }
}

// Guards against knowledge that is lost or comes too late: a crashing request
// arrives at any VM while VMs restart, all are killed, are cut off from each
// other, or the store is away.
describe("a request that crashes servers, in a fleet under faults", () => {
  it("runs at most three times later than 3 s after the third crash", () => {
    fc.assert(
      fc.property(
        fc.array(scheduledStep, { minLength: 20, maxLength: 150 }),
        (schedule) => {
          const fleet = new SimulatedFleet();
          schedule.forEach((step) => {
            fleet.run(step);
          });
          expect(fleet.lateRuns).toBeLessThanOrEqual(ALLOWED_LATE_RUNS);
          expect(fleet.popularRefusals).toBe(0);
        },
      ),
      { seed: 19, numRuns: 1_500 },
    );
  }, 240_000);

  it("is told from a popular one that was there at two crashes among others", () => {
    fc.assert(
      fc.property(
        fc.array(coincidentStep, { minLength: 5, maxLength: 40 }),
        (schedule) => {
          const fleet = new SimulatedFleet();
          schedule.forEach((step) => {
            fleet.run(step);
          });
          expect(fleet.popularRefusals).toBe(0);
        },
      ),
      { seed: 20, numRuns: 1_000 },
    );
  });
});
