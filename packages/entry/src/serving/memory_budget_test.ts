import {
  computeHeldLimitBytes,
  MemoryBudget,
  MemoryShare,
} from "./memory_budget.ts";

const LIMIT_BYTES = 1_000;

describe("MemoryBudget", () => {
  it("leaves most of the heap to everything else", () => {
    const heapBytes = 64_000_000;
    const limitBytes = computeHeldLimitBytes(heapBytes);
    expect(limitBytes).toBeGreaterThan(0);
    expect(limitBytes).toBeLessThanOrEqual(heapBytes / 2);
  });

  it("reserves up to its limit and not beyond", () => {
    const budget = new MemoryBudget(LIMIT_BYTES);
    expect(budget.reserve(LIMIT_BYTES)).toBe(true);
    expect(budget.reserve(1)).toBe(false);
    expect(budget.heldBytes).toBe(LIMIT_BYTES);
    expect(budget.isExceeded).toBe(false);
  });

  it("counts what is held in any case, and then reserves nothing", () => {
    const budget = new MemoryBudget(LIMIT_BYTES);
    budget.add(LIMIT_BYTES + 1);
    expect(budget.isExceeded).toBe(true);
    expect(budget.reserve(0)).toBe(false);
    budget.release(LIMIT_BYTES + 1);
    expect(budget.reserve(LIMIT_BYTES)).toBe(true);
  });
});

describe("MemoryShare", () => {
  it("releases all that it held, once", () => {
    const budget = new MemoryBudget(LIMIT_BYTES);
    const other = new MemoryShare(budget);
    const share = new MemoryShare(budget);
    other.reserve(100);
    share.reserve(200);
    share.add(900);
    share.add(-50);
    expect(share.isBudgetExceeded).toBe(true);
    share.close();
    share.close();
    expect(budget.heldBytes).toBe(100);
  });

  it("counts nothing after it was closed", () => {
    const budget = new MemoryBudget(LIMIT_BYTES);
    const share = new MemoryShare(budget);
    share.close();
    share.add(10);
    expect(share.reserve(10)).toBe(false);
    expect(budget.heldBytes).toBe(0);
  });

  it("holds nothing of what was refused", () => {
    const budget = new MemoryBudget(LIMIT_BYTES);
    const share = new MemoryShare(budget);
    expect(share.reserve(LIMIT_BYTES + 1)).toBe(false);
    share.close();
    expect(budget.heldBytes).toBe(0);
  });
});
