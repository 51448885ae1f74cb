import { type ServerId, toId } from "@limpetford/domain/ids";

import { ServerLimitRegistry } from "./server_limit_registry.ts";

const SERVER = toId<ServerId>("i-1");

function buildLimit(
  requestsPerSecond: number | undefined,
  knownAtMs: number,
  startedAtMs = 1,
): Parameters<ServerLimitRegistry["apply"]>[1] {
  return { startedAtMs, requestsPerSecond, knownAtMs };
}

describe("ServerLimitRegistry", () => {
  it("keeps the newest limit in whatever order reports arrive", () => {
    const registry = new ServerLimitRegistry();
    expect(registry.apply(SERVER, buildLimit(2, 100), 0)).toBe(true);
    expect(registry.apply(SERVER, buildLimit(5, 50), 0)).toBe(false);
    expect(registry.apply(SERVER, buildLimit(undefined, 90), 0)).toBe(false);
    expect(registry.apply(SERVER, buildLimit(2, 200), 0)).toBe(false);
    expect(registry.find(SERVER, 1)?.requestsPerSecond).toBe(2);
    expect(registry.apply(SERVER, buildLimit(undefined, 300), 0)).toBe(true);
    expect(registry.limitedCount).toBe(0);
  });

  it("lists what has changed, not what was only confirmed", () => {
    const registry = new ServerLimitRegistry();
    registry.apply(SERVER, buildLimit(2, 100), 100);
    registry.apply(SERVER, buildLimit(2, 900), 900);
    expect(registry.listChangedSince(500)).toEqual([]);
    registry.apply(SERVER, buildLimit(3, 950), 950);
    expect(registry.listChangedSince(500)).toHaveLength(1);
  });

  it("does not apply the limit of a process before a restart", () => {
    const registry = new ServerLimitRegistry();
    registry.apply(SERVER, buildLimit(2, 100), 0);
    expect(registry.find(SERVER, 2)).toBeUndefined();
    registry.apply(SERVER, buildLimit(8, 200, 2), 0);
    expect(registry.apply(SERVER, buildLimit(2, 300, 1), 0)).toBe(false);
    expect(registry.find(SERVER, 2)?.requestsPerSecond).toBe(8);
  });

  it("forgets limits of earlier starts, and of servers that are long gone", () => {
    const registry = new ServerLimitRegistry();
    registry.apply(SERVER, buildLimit(2, 0), 0);
    registry.expire(new Map([[SERVER, 1]]), 1_000_000);
    expect(registry.listChangedSince(0)).toHaveLength(1);
    // The server is announced again when the store is back.
    registry.expire(new Map(), 30_000);
    expect(registry.listChangedSince(0)).toHaveLength(1);
    registry.expire(new Map(), 90_000);
    expect(registry.listChangedSince(0)).toHaveLength(0);
    registry.apply(SERVER, buildLimit(2, 0), 0);
    registry.expire(new Map([[SERVER, 2]]), 10);
    expect(registry.listChangedSince(0)).toHaveLength(0);
    registry.apply(SERVER, buildLimit(undefined, 0), 0);
    registry.expire(new Map([[SERVER, 1]]), 20_000);
    expect(registry.listChangedSince(0)).toHaveLength(0);
  });
});
