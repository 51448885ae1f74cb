import { type ServerId, toId } from "@limpetford/domain/ids";

import type {
  AttemptOutcome,
  AttemptSample,
} from "../evidence/attempt_sample.ts";
import { ServiceReach } from "./service_reach.ts";

const A = toId<ServerId>("a");
const B = toId<ServerId>("b");
const SERVERS = 6;

function buildSample(
  outcome: AttemptOutcome,
  options: { readonly isReused?: boolean } = {},
): AttemptSample {
  const isAnswered = outcome === "served" || outcome === "failed" ||
    outcome === "shed";
  return {
    outcome,
    firstByteMs: isAnswered ? 10 : undefined,
    totalMs: 20,
    wasConnectionReused: options.isReused ?? true,
    answerBytes: 0,
  };
}

describe("ServiceReach", () => {
  it.each<[string, readonly [ServerId, AttemptOutcome][], boolean]>([
    ["nothing", [], false],
    ["one server in trouble", [[A, "reset-before-first-byte"]], false],
    [
      "one server in trouble twice",
      [[A, "connect-failed"], [A, "reset-before-first-byte"]],
      false,
    ],
    [
      "two servers in trouble",
      [[A, "reset-before-first-byte"], [B, "connect-failed"]],
      true,
    ],
    [
      "two resets with an answer between",
      [
        [A, "reset-before-first-byte"],
        [A, "served"],
        [B, "reset-before-first-byte"],
      ],
      false,
    ],
    // Open connections that live on say nothing of new ones.
    [
      "two failed connects with an answer between",
      [[A, "connect-failed"], [A, "failed"], [B, "connect-failed"]],
      true,
    ],
    ["servers that answer with errors", [[A, "failed"], [B, "shed"]], false],
    ["cancelled attempts", [[A, "cancelled"], [B, "timed-out"]], false],
  ])("asks for connects after %s: see the table", (_name, ends, isDue) => {
    const reach = new ServiceReach();
    for (const [server, outcome] of ends) {
      reach.recordAttempt(server, buildSample(outcome), 1_000);
    }
    expect(reach.shouldProbe(SERVERS, 1_000)).toBe(isDue);
    expect(reach.isInDoubt).toBe(isDue);
    expect(reach.isUnreachable).toBe(false);
  });

  it("suspects overdue requests only after a silence", () => {
    const reach = new ServiceReach();
    reach.recordAttempt(A, buildSample("served"), 1_000);
    reach.recordOverdue([A, B], 1_100);
    expect(reach.shouldProbe(SERVERS, 1_100)).toBe(false);
    reach.recordOverdue([A, B], 1_300);
    expect(reach.shouldProbe(SERVERS, 1_300)).toBe(true);
  });

  it("is lost when no connect succeeds, and regained after two rounds", () => {
    const reach = new ServiceReach();
    const changes = [
      reach.recordRound({ accepted: 1, failed: 4 }, 1_000),
      reach.recordRound({ accepted: 0, failed: 0 }, 1_100),
      reach.recordRound({ accepted: 0, failed: 5 }, 1_200),
      reach.recordRound({ accepted: 0, failed: 5 }, 1_500),
      reach.recordRound({ accepted: 5, failed: 0 }, 1_800),
      reach.recordRound({ accepted: 0, failed: 5 }, 2_100),
      reach.recordRound({ accepted: 1, failed: 4 }, 2_400),
      reach.recordRound({ accepted: 5, failed: 0 }, 2_700),
    ];
    expect(changes).toEqual([
      "none",
      "none",
      "lost",
      "none",
      "none",
      "none",
      "none",
      "regained",
    ]);
    expect(reach.isInDoubt).toBe(false);
  });

  it("is regained soon after an answer over a new connection", () => {
    const reach = new ServiceReach();
    reach.recordRound({ accepted: 0, failed: 5 }, 1_000);
    reach.recordAttempt(A, buildSample("served", { isReused: true }), 1_100);
    expect(reach.shouldProbe(SERVERS, 1_100)).toBe(false);
    reach.recordAttempt(A, buildSample("served", { isReused: false }), 1_100);
    expect(reach.shouldProbe(SERVERS, 1_100)).toBe(true);
    reach.beginRound(1_100);
    expect(reach.recordRound({ accepted: 1, failed: 0 }, 1_101))
      .toBe("regained");
  });

  it("connects more and more seldom while the servers stay unreachable", () => {
    const reach = new ServiceReach();
    const roundsAtMs: number[] = [];
    reach.recordRound({ accepted: 0, failed: 5 }, 0);
    for (let nowMs = 0; nowMs < 6_000; nowMs += 50) {
      if (reach.shouldProbe(SERVERS, nowMs)) {
        roundsAtMs.push(nowMs);
        reach.beginRound(nowMs);
        reach.recordRound({ accepted: 0, failed: 5 }, nowMs);
      }
    }
    expect(roundsAtMs).toEqual([300, 600, 1_200, 2_400, 3_600, 4_800]);
  });

  it("blames no server for what began before the links were back", () => {
    const reach = new ServiceReach();
    expect(reach.mayBlameServer(900)).toBe(true);
    reach.recordRound({ accepted: 0, failed: 5 }, 1_000);
    expect(reach.mayBlameServer(1_100)).toBe(false);
    reach.recordRound({ accepted: 1, failed: 0 }, 2_000);
    reach.recordRound({ accepted: 1, failed: 0 }, 2_300);
    expect(reach.mayBlameServer(1_100)).toBe(false);
    expect(reach.mayBlameServer(2_300)).toBe(true);
  });

  it("leaves a pause between two rounds", () => {
    const reach = new ServiceReach();
    reach.recordRound({ accepted: 0, failed: 5 }, 1_000);
    reach.beginRound(1_000);
    expect(reach.shouldProbe(SERVERS, 1_100)).toBe(false);
    expect(reach.shouldProbe(SERVERS, 1_300)).toBe(true);
    expect(reach.shouldProbe(0, 1_300)).toBe(false);
  });
});
