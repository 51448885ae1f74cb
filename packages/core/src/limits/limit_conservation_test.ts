import fc from "fast-check";

import {
  createHeldGrant,
  type HeldGrant,
  listReturns,
  spendGranted,
} from "./held_grants.ts";
import {
  computeGrantable,
  createBucket,
  grant,
  GRANT_VALID_MS,
  IMMEDIATE_GRANT_VALID_MS,
  type LimitBucket,
  type Limits,
  recordSpent,
  refill,
  renewGrant,
  restore,
  spend,
} from "./limit_bucket.ts";

const SEED = 44;
const RUNS = 600;
const VM_COUNT = 3;
const LIMITS: Limits = { ratePerSecond: 10, burst: 6 };
const ROUNDING = 1e-6;

/** One step of a schedule, after some time has passed. */
type Action =
  | { readonly kind: "request"; readonly vm: number; readonly count: number }
  | {
    readonly kind: "ask";
    readonly vm: number;
    readonly tokens: number;
    readonly validForMs: number;
    /** Time from the request to its handling, then to the reply's. */
    readonly delayMs: number;
    readonly replyDelayMs: number;
    readonly isReplyLost: boolean;
  }
  | {
    readonly kind: "return";
    readonly vm: number;
    readonly isLost: boolean;
  }
  /** Has the holder renew all grants of a VM. */
  | {
    readonly kind: "renew";
    readonly vm: number;
    readonly delayMs: number;
    readonly isReplyLost: boolean;
  }
  /** Tells the holder what has been spent, and goes on spending. */
  | { readonly kind: "report"; readonly vm: number; readonly delayMs: number }
  | { readonly kind: "takeover"; readonly vm: number }
  | { readonly kind: "handover"; readonly vm: number; readonly lossMs: number };

interface TimedAction {
  readonly afterMs: number;
  readonly action: Action;
}

/** Time within which the standby of a new holder cannot take over from it. */
const PROMISE_MS = GRANT_VALID_MS;

class Fleet {
  readonly admittedAtMs: number[] = [];
  nowMs = 0;
  readonly #wallets: HeldGrant[][] = Array.from(
    { length: VM_COUNT },
    () => [],
  );
  readonly #later: { dueAtMs: number; run: () => void }[] = [];
  #holder = 0;
  #bucket: LimitBucket = createBucket(LIMITS, 0);
  #heldSinceMs = 0;
  #grantCount = 0;

  advance(byMs: number): void {
    const untilMs = this.nowMs + byMs;
    for (;;) {
      this.#later.sort((a, b) => a.dueAtMs - b.dueAtMs);
      const next = this.#later[0];
      if (next === undefined || next.dueAtMs > untilMs) {
        break;
      }
      this.#later.shift();
      this.nowMs = next.dueAtMs;
      next.run();
    }
    this.nowMs = untilMs;
  }

  apply(action: Action): void {
    switch (action.kind) {
      case "request":
        for (let sent = 0; sent < action.count; sent += 1) {
          this.#handleRequest(action.vm);
        }
        return;
      case "ask":
        this.#sendAsk(action);
        return;
      case "return":
        this.#returnAll(action.vm, action.isLost);
        return;
      case "renew":
        this.#renewAll(action);
        return;
      case "report":
        this.#sendReport(action.vm, action.delayMs);
        return;
      case "takeover":
        if (this.nowMs - this.#heldSinceMs >= PROMISE_MS) {
          this.#holder = action.vm;
          this.#bucket = createBucket(LIMITS, this.nowMs);
          this.#heldSinceMs = this.nowMs;
        }
        return;
      case "handover":
        this.#applyHandover(action);
        return;
    }
  }

  readInvariant(): number {
    const bucket = this.#bucket;
    const granted = bucket.grants.reduce((sum, made) => sum + made.tokens, 0);
    return bucket.level + granted + bucket.withheld;
  }

  #handleRequest(vm: number): void {
    if (vm === this.#holder) {
      const step = spend(this.#bucket, this.nowMs);
      this.#bucket = step.bucket;
      this.#record(step.isDone);
      return;
    }
    const step = spendGranted(this.#wallets[vm] ?? [], this.nowMs);
    this.#wallets[vm] = [...step.grants];
    this.#record(step.isDone);
  }

  #record(isDone: boolean): void {
    if (isDone) {
      this.admittedAtMs.push(this.nowMs);
    }
  }

  #sendAsk(ask: Extract<Action, { kind: "ask" }>): void {
    const askedAtMs = this.nowMs;
    const holder = this.#holder;
    this.#runLater(ask.delayMs, () => {
      if (holder !== this.#holder || ask.vm === holder) {
        return;
      }
      const id = `g${this.#grantCount++}`;
      this.#bucket = refill(this.#bucket, this.nowMs);
      const tokens = Math.min(ask.tokens, computeGrantable(this.#bucket));
      const order = {
        id,
        vm: `vm-${ask.vm}`,
        tokens,
        nowMs: this.nowMs,
        validForMs: ask.validForMs,
      };
      const step = grant(this.#bucket, order);
      this.#bucket = step.bucket;
      if (step.isDone && !ask.isReplyLost) {
        this.#runLater(ask.replyDelayMs, () => {
          const received = { id, tokens, validForMs: ask.validForMs };
          const held = createHeldGrant(received, askedAtMs);
          this.#wallets[ask.vm]?.push(held);
        });
      }
    });
  }

  #returnAll(vm: number, isLost: boolean): void {
    const returns = listReturns(this.#wallets[vm] ?? []);
    this.#wallets[vm] = [];
    if (!isLost) {
      this.#runLater(5, () => {
        for (const { id, unspent } of returns) {
          this.#bucket = restore(this.#bucket, id, unspent);
        }
      });
    }
  }

  #renewAll(action: Extract<Action, { kind: "renew" }>): void {
    const { vm, delayMs, isReplyLost } = action;
    const askedAtMs = this.nowMs;
    const ids = (this.#wallets[vm] ?? []).map((held) => held.id);
    this.#runLater(delayMs, () => {
      this.#bucket = refill(this.#bucket, this.nowMs);
      const renewed = ids.filter((id) =>
        this.#bucket.grants.some((made) => made.id === id)
      );
      for (const id of renewed) {
        this.#bucket = renewGrant(this.#bucket, id, this.nowMs);
      }
      if (isReplyLost) {
        return;
      }
      this.#runLater(delayMs, () => {
        this.#wallets[vm] = (this.#wallets[vm] ?? []).map((held) =>
          renewed.includes(held.id)
            ? createHeldGrant({
              id: held.id,
              tokens: held.unspent,
              validForMs: GRANT_VALID_MS,
            }, askedAtMs)
            : held
        );
      });
    });
  }

  #sendReport(vm: number, delayMs: number): void {
    const held = this.#wallets[vm] ?? [];
    this.#runLater(delayMs, () => {
      for (const { id, unspent } of held) {
        this.#bucket = recordSpent(this.#bucket, id, unspent);
      }
    });
  }

  #applyHandover(action: Extract<Action, { kind: "handover" }>): void {
    // Expiry times move later by the transfer, which is the safe side.
    const moved = refill(this.#bucket, this.nowMs);
    this.#holder = action.vm;
    this.#bucket = {
      ...moved,
      grants: moved.grants.map((made) => ({
        ...made,
        expiresAtMs: made.expiresAtMs + action.lossMs,
      })),
      refilledAtMs: this.nowMs + action.lossMs,
      withheldUntilMs: moved.withheldUntilMs + action.lossMs,
    };
    this.#heldSinceMs = this.nowMs;
  }

  #runLater(delayMs: number, run: () => void): void {
    this.#later.push({ dueAtMs: this.nowMs + delayMs, run });
  }
}

const arbitraryVm = fc.nat(VM_COUNT - 1);
const arbitraryAction: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant("request" as const),
      vm: arbitraryVm,
      count: fc.integer({ min: 1, max: 7 }),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("ask" as const),
      vm: arbitraryVm,
      tokens: fc.integer({ min: 1, max: 6 }),
      validForMs: fc.constantFrom(IMMEDIATE_GRANT_VALID_MS, GRANT_VALID_MS),
      delayMs: fc.oneof(fc.constant(1), fc.nat(3_000)),
      replyDelayMs: fc.oneof(fc.constant(1), fc.nat(3_000)),
      isReplyLost: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("renew" as const),
      vm: arbitraryVm,
      delayMs: fc.nat(1_500),
      isReplyLost: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("report" as const),
      vm: arbitraryVm,
      delayMs: fc.nat(100),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("return" as const),
      vm: arbitraryVm,
      isLost: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("takeover" as const),
      vm: arbitraryVm,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("handover" as const),
      vm: arbitraryVm,
      lossMs: fc.nat(50),
    }),
  },
);
const arbitrarySchedule: fc.Arbitrary<TimedAction[]> = fc.array(
  fc.record({
    afterMs: fc.oneof(
      { weight: 6, arbitrary: fc.nat(5) },
      { weight: 2, arbitrary: fc.nat(300) },
      { weight: 1, arbitrary: fc.nat(4_000) },
    ),
    action: arbitraryAction,
  }),
  { minLength: 20, maxLength: 150, size: "max" },
);

/** Finds the largest excess over burst plus rate times time in any window. */
function computeExcess(times: readonly number[], limits: Limits): number {
  let excess = -Infinity;
  for (let first = 0; first < times.length; first += 1) {
    for (let last = first; last < times.length; last += 1) {
      const spanMs = (times[last] ?? 0) - (times[first] ?? 0);
      const allowed = limits.burst + limits.ratePerSecond * spanMs / 1_000;
      excess = Math.max(excess, last - first + 1 - allowed);
    }
  }
  return excess;
}

describe("rate limit over all VMs", () => {
  it("shows no window above burst plus rate times time", () => {
    let admitted = 0;
    fc.assert(
      fc.property(arbitrarySchedule, (schedule) => {
        const fleet = new Fleet();
        for (const { afterMs, action } of schedule) {
          fleet.advance(afterMs);
          fleet.apply(action);
          expect(fleet.readInvariant())
            .toBeLessThanOrEqual(LIMITS.burst + ROUNDING);
        }
        admitted += fleet.admittedAtMs.length;
        expect(computeExcess(fleet.admittedAtMs, LIMITS))
          .toBeLessThanOrEqual(ROUNDING);
      }),
      { seed: SEED, numRuns: RUNS },
    );
    expect(admitted).toBeGreaterThan(RUNS);
  });
});
