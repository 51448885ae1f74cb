import { type RequestId, type ServerId, toId } from "@limpetford/domain/ids";

import {
  type UnansweredAttempt,
  UnresolvedAttempts,
} from "./unresolved_attempts.ts";

const MAX_ATTEMPTS = 16_384;
const MAX_PER_SERVER = 64;

function buildServer(index: number): {
  readonly id: ServerId;
  readonly address: { readonly host: string; readonly port: number };
} {
  return {
    id: toId<ServerId>(`i-${index}`),
    address: { host: "127.0.0.1", port: 1 },
  };
}

function buildAttempt(
  name: string,
  changes: Partial<UnansweredAttempt> = {},
): UnansweredAttempt {
  return {
    request: toId<RequestId>(`sending-of-${name}`),
    fingerprint: name,
    attempt: 1,
    outcome: "cancelled",
    sentAtMs: 0,
    endedAtMs: 100,
    wasServerRunning: false,
    wasGivenUp: true,
    wasSuspect: false,
    keptUntilMs: 5_000,
    ...changes,
  };
}

// Guards against memory that grows with the number of callers that leave, and
// against one busy server or popular request that crowds out the others.
describe("UnresolvedAttempts", () => {
  it("keeps a bounded number in all, the newest ones", () => {
    const attempts = new UnresolvedAttempts();
    for (let index = 0; index < MAX_ATTEMPTS + 1_000; index++) {
      attempts.put(buildServer(index % 500), buildAttempt(`r-${index}`));
    }
    expect(attempts.count).toBe(MAX_ATTEMPTS);
    const newest = MAX_ATTEMPTS + 999;
    const { id } = buildServer(newest % 500);
    expect(attempts.list(id, 0).at(-1)?.fingerprint).toBe(`r-${newest}`);
    attempts.expire(5_001);
    expect(attempts.count).toBe(0);
    expect(attempts.has(toId<RequestId>(`sending-of-r-${newest}`))).toBe(false);
  });

  it("keeps a bounded number for each server", () => {
    const attempts = new UnresolvedAttempts();
    attempts.put(buildServer(2), buildAttempt("other"));
    for (let index = 0; index < 1_000; index++) {
      attempts.put(buildServer(1), buildAttempt(`r-${index}`));
    }
    expect(attempts.list(buildServer(1).id, 0)).toHaveLength(MAX_PER_SERVER);
    expect(attempts.list(buildServer(2).id, 0)).toHaveLength(1);
  });

  it("keeps the last of the attempts of a request that were given up", () => {
    const attempts = new UnresolvedAttempts();
    attempts.put(buildServer(1), buildAttempt("rare"));
    for (let index = 0; index < 1_000; index++) {
      const request = toId<RequestId>(`sending-${index}`);
      attempts.put(buildServer(1), buildAttempt("popular", { request }));
    }
    const kept = attempts.take(buildServer(1).id, 0);
    expect(kept.map(({ request }) => request)).toEqual([
      "sending-of-rare",
      "sending-999",
    ]);
    expect(attempts.count).toBe(0);
  });

  it("keeps a broken attempt besides one that was given up", () => {
    const attempts = new UnresolvedAttempts();
    const broken = { wasGivenUp: false, attempt: 2 };
    attempts.put(buildServer(1), buildAttempt("a", broken));
    attempts.put(buildServer(1), buildAttempt("a"));
    expect(attempts.list(buildServer(1).id, 0)).toHaveLength(2);
    attempts.dropRequest("a");
    expect(attempts.count).toBe(0);
  });
});
