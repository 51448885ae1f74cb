import { FairQueue } from "./fair_queue.ts";

interface Work {
  readonly team: string;
  readonly costMs: number;
}

/** Simulates one slot for a time and sums the slot time of each team. */
function runSlot(
  queue: FairQueue<Work>,
  totalMs: number,
): ReadonlyMap<string, number> {
  const used = new Map<string, number>();
  for (let nowMs = 0; nowMs < totalMs;) {
    const item = queue.take(() => true);
    if (item === undefined) {
      break;
    }
    nowMs += item.value.costMs;
    used.set(item.team, (used.get(item.team) ?? 0) + item.value.costMs);
  }
  return used;
}

function addMany(
  queue: FairQueue<Work>,
  count: number,
  options: { readonly team: string; readonly costMs: number; weight?: number },
): void {
  const { team, costMs, weight = 1 } = options;
  for (let index = 0; index < count; index += 1) {
    const value = { team, costMs };
    queue.add({ team, weight, costMs, waitUntilMs: 1e9, value });
  }
}

describe("FairQueue", () => {
  it.each([
    {
      name: "a team with ten times the requests",
      large: { count: 1_000, costMs: 20, weight: 1 },
      share: 0.5,
    },
    {
      name: "a team with slow requests",
      large: { count: 100, costMs: 200, weight: 1 },
      share: 0.5,
    },
    {
      name: "a team with three times the weight",
      large: { count: 1_000, costMs: 20, weight: 3 },
      share: 0.25,
    },
  ])("gives a team its share beside $name", ({ large, share }) => {
    const queue = new FairQueue<Work>();
    addMany(queue, large.count, { team: "large", ...large });
    addMany(queue, 100, { team: "small", costMs: 20 });
    const used = runSlot(queue, 2_000);
    const small = used.get("small") ?? 0;
    const all = small + (used.get("large") ?? 0);
    expect(small / all).toBeGreaterThan(0.8 * share);
    expect(small / all).toBeLessThan(1.25 * share);
  });

  it("skips a team whose request cannot be placed", () => {
    const queue = new FairQueue<Work>();
    addMany(queue, 1, { team: "a", costMs: 20 });
    addMany(queue, 1, { team: "b", costMs: 20 });
    expect(queue.take((item) => item.team === "b")?.team).toBe("b");
    expect(queue.take((item) => item.team === "b")).toBeUndefined();
    expect(queue.countAll()).toBe(1);
  });

  it("removes expired requests", () => {
    const queue = new FairQueue<Work>();
    addMany(queue, 3, { team: "a", costMs: 20 });
    expect(queue.expire(() => true)).toHaveLength(3);
    expect(queue.countAll()).toBe(0);
    expect(queue.take(() => true)).toBeUndefined();
  });
});
