import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import {
  type ServerId,
  type TeamId,
  toId,
  type ZoneId,
} from "@limpetford/domain/ids";

import type {
  AttemptOutcome,
  AttemptSample,
} from "../evidence/attempt_sample.ts";
import { buildAnnouncedServer } from "../fakes/announced_server.ts";
import { buildPlacementDemand } from "../fakes/placement_demand.ts";
import { SeededRandomSource } from "../time/random_source.ts";
import { EVIDENCE } from "./gray_failure_estimator.ts";
import type { PlacementDemand } from "./placement_demand.ts";
import { ServicePlacement } from "./service_placement.ts";

const ZONE = toId<ZoneId>("zone-0");
const SERVER_COUNT = 8;
const REQUEST_COUNT = 40;

const SERVERS: readonly AnnouncedServer[] = Array.from(
  { length: SERVER_COUNT },
  (_, index) =>
    buildAnnouncedServer(`i-${index}`, {
      zone: ZONE,
      address: { host: "127.0.0.1", port: 1_000 + index },
    }),
);

function buildDemand(nowMs: number): PlacementDemand {
  return buildPlacementDemand(
    { targetAtMs: nowMs + 1_000, deadlineAtMs: nowMs + 3_000 },
    { team: toId<TeamId>("t"), priority: 0 },
  );
}

function buildSample(outcome: AttemptOutcome): AttemptSample {
  return {
    outcome,
    firstByteMs: outcome === "served" ? 50 : undefined,
    totalMs: 50,
    wasConnectionReused: true,
    answerBytes: 100,
  };
}

function buildPlacement(): ServicePlacement<string> {
  const placement = new ServicePlacement<string>({
    zone: ZONE,
    random: new SeededRandomSource(1),
    minimumShare: 0.7,
    retryBounds: { ratio: 0.2, slack: 60, windowMs: 10_000 },
    findRateLimit: () => undefined,
  });
  placement.setServers(SERVERS, 0);
  placement.setVmCount(3);
  return placement;
}

// Sends requests one after the other; returns the servers that are blamed.
function listBlamed(
  chooseOutcome: (server: ServerId) => AttemptOutcome,
): readonly string[] {
  const placement = buildPlacement();
  for (let count = 0; count < REQUEST_COUNT; count++) {
    const nowMs = count * 100;
    const decision = placement.acquire(buildDemand(nowMs), "", nowMs);
    if (decision.kind === "placed") {
      const outcome = chooseOutcome(decision.slot.server.announced.id);
      placement.complete(decision.slot, buildSample(outcome), nowMs + 50);
    }
  }
  const blamed = placement.takeEvidence()
    .filter(({ evidence }) => evidence === EVIDENCE.failure)
    .map(({ server }) => server);
  return [...new Set(blamed)];
}

// Guards against a VM without links that makes all others shun sound servers.
describe("failures on the way to servers", () => {
  it.each<[string, AttemptOutcome]>([
    ["reset", "reset-before-first-byte"],
    ["refused", "connect-failed"],
  ])(
    "are held against one server at most while all are %s",
    (_name, outcome) => {
      expect(listBlamed(() => outcome).length).toBeLessThanOrEqual(1);
    },
  );

  it.each<[string, AttemptOutcome]>([
    ["reset", "reset-before-first-byte"],
    ["refused", "connect-failed"],
  ])("are held against a server that alone is %s", (_name, outcome) => {
    const [faulty] = SERVERS;
    const blamed = listBlamed((id) => id === faulty?.id ? outcome : "served");
    expect(blamed).toEqual([faulty?.id]);
  });
});
