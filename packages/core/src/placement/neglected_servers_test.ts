import { type ServerId, toId, type ZoneId } from "@limpetford/domain/ids";

import { buildAnnouncedServer } from "../fakes/announced_server.ts";
import { buildPlacementDemand } from "../fakes/placement_demand.ts";
import { findNeglectedServer } from "./neglected_servers.ts";
import type { PlacementDemand } from "./placement_demand.ts";
import { TrackedServer } from "./tracked_server.ts";

const ZONE = toId<ZoneId>("z");
const NOW_MS = 10_000;
/** A pause of 150 ms ends before the choice, which is unproven for a second. */
const SHED_AT_MS = NOW_MS - 400;

function buildServer(id: string): TrackedServer {
  return new TrackedServer(buildAnnouncedServer(id, { zone: ZONE }), 0.1, 0);
}

function buildDemand(changes: Partial<PlacementDemand> = {}): PlacementDemand {
  const times = { targetAtMs: NOW_MS + 600, deadlineAtMs: NOW_MS + 2_500 };
  return buildPlacementDemand(times, changes);
}

describe("findNeglectedServer", () => {
  const context = {
    zone: ZONE,
    minimumShare: 0.7,
    unservedShare: 0.2,
    grayShare: 0.1,
    nowMs: NOW_MS,
  };

  it.each([
    { what: "a server that nobody uses", chosen: true },
    { what: "none for a suspect", demand: { isSuspect: true }, chosen: false },
    {
      what: "none that was tried",
      demand: { tried: [toId<ServerId>("a")] },
      chosen: false,
    },
    {
      what: "none while few fail",
      context: { unservedShare: 0.05 },
      chosen: false,
    },
    {
      what: "none while enough are used",
      used: 5,
      chosen: false,
    },
    {
      what: "one that has shed, for a retryable request",
      hasShed: true,
      chosen: true,
    },
    {
      what: "none that has shed, for a last attempt",
      hasShed: true,
      demand: { mayRetry: false },
      chosen: false,
    },
  ])("finds $what", ({ demand, context: changes, hasShed, used, chosen }) => {
    const server = buildServer("a");
    if (hasShed === true) {
      server.recordShed(SHED_AT_MS);
    }
    const others = Array.from({ length: used ?? 0 }, (_, index) => {
      const other = buildServer(`b-${index}`);
      other.addRunning({ startedAtMs: NOW_MS - 100, expectedMs: 200 });
      return other;
    });
    const found = findNeglectedServer(
      [server, ...others],
      buildDemand(demand),
      { ...context, ...changes },
    );
    expect(found === server).toBe(chosen);
  });
});
