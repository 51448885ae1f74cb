import {
  type RouteId,
  type ServerId,
  type ServiceId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";

import type {
  EvidenceReport,
  OutcomeCounts,
} from "../evidence/evidence_report.ts";
import { findLatencyBucket } from "../evidence/latency_sketch.ts";
import { SeededRandomSource } from "../time/random_source.ts";
import { PooledDetector } from "./pooled_detector.ts";

const SERVERS = Array.from(
  { length: 20 },
  (_, index) => toId<ServerId>(`s${index}`),
);
const ZONES = ["a", "b", "c"].map((name) => toId<ZoneId>(name));
const VM_COUNT = 44;
const STEP_MS = 100;
const NO_OUTCOMES: OutcomeCounts = {
  failed: 0,
  refused: 0,
  reset: 0,
  cut: 0,
  timedOut: 0,
  shed: 0,
  late: 0,
  overdue: 0,
};

/** Latency of one request, or undefined for a failure. */
type Manner = (request: {
  readonly server: ServerId;
  readonly vmIndex: number;
  readonly nowMs: number;
  readonly random: SeededRandomSource;
}) => number | undefined;

function computeHealthyMs(random: SeededRandomSource): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random.sampleUniform())) *
    Math.cos(2 * Math.PI * random.sampleUniform());
  return 20 * Math.exp(0.4 * normal);
}

/** Runs 20 requests per second and server, and lists who was accused when. */
function runTraffic(
  manner: Manner,
  options: { readonly durationMs: number; readonly perSecond?: number },
): ReadonlyMap<ServerId, number> {
  const random = new SeededRandomSource(7);
  const detector = new PooledDetector({ falseEjectionsPerServerDay: 0.01 });
  detector.setServers(SERVERS.map((id) => ({
    id,
    zone: ZONES[Number(id.slice(1)) % ZONES.length] ?? toId<ZoneId>("a"),
  })));
  const accused = new Map<ServerId, number>();
  const perStep = (options.perSecond ?? 20) * STEP_MS / 1_000;
  for (let nowMs = 0; nowMs < options.durationMs; nowMs += STEP_MS) {
    for (const server of SERVERS) {
      const count = Math.floor(perStep + random.sampleUniform());
      for (let index = 0; index < count; index += 1) {
        const vmIndex = random.pickIndex(VM_COUNT);
        const latencyMs = manner({ server, vmIndex, nowMs, random });
        detector.observe(makeReport(server, vmIndex, latencyMs), nowMs);
      }
    }
    for (const { server } of detector.listAccused(nowMs)) {
      if (!accused.has(server)) {
        accused.set(server, nowMs);
      }
    }
  }
  return accused;
}

function makeReport(
  server: ServerId,
  vmIndex: number,
  latencyMs: number | undefined,
): EvidenceReport {
  const zone = ZONES[vmIndex % ZONES.length] ?? toId<ZoneId>("a");
  return {
    service: toId<ServiceId>("calendar"),
    vm: toId<VmId>(`v${vmIndex}`),
    zone,
    entries: [{
      server,
      route: toId<RouteId>("read"),
      latencies: latencyMs === undefined
        ? []
        : [{ bucket: findLatencyBucket(latencyMs), count: 1 }],
      outcomes: { ...NO_OUTCOMES, failed: latencyMs === undefined ? 1 : 0 },
    }],
  };
}

const GRAY = toId<ServerId>("s3");
const ONSET_MS = 20_000;

describe("PooledDetector", () => {
  it.each<{ name: string; limitMs: number; manner: Manner }>([
    {
      name: "fails everything",
      limitMs: 1_000,
      manner: ({ random }) => random.sampleUniform() < 0 ? 1 : undefined,
    },
    {
      name: "fails half",
      limitMs: 3_000,
      manner: ({ random }) =>
        random.sampleUniform() < 0.5 ? undefined : computeHealthyMs(random),
    },
    {
      name: "five times slower",
      limitMs: 3_000,
      manner: ({ random }) => 5 * computeHealthyMs(random),
    },
  ])("accuses a server that $name, and no other", ({ limitMs, manner }) => {
    const accused = runTraffic(
      (request) =>
        request.server === GRAY && request.nowMs >= ONSET_MS
          ? manner(request)
          : computeHealthyMs(request.random),
      { durationMs: 30_000 },
    );
    expect([...accused.keys()]).toEqual([GRAY]);
    expect((accused.get(GRAY) ?? Infinity) - ONSET_MS)
      .toBeLessThanOrEqual(limitMs);
  });

  it.each<{ name: string; manner: Manner }>([
    {
      name: "healthy traffic",
      manner: ({ random }) => computeHealthyMs(random),
    },
    {
      name: "everything five times slower at once",
      manner: ({ nowMs, random }) =>
        (nowMs >= ONSET_MS ? 5 : 1) * computeHealthyMs(random),
    },
    {
      name: "a third of everything failing at once",
      manner: ({ nowMs, random }) =>
        nowMs >= ONSET_MS && random.sampleUniform() < 0.33
          ? undefined
          : computeHealthyMs(random),
    },
    {
      name: "the link of one VM",
      manner: ({ server, vmIndex, random }) =>
        server === GRAY && vmIndex === 5 ? undefined : computeHealthyMs(random),
    },
    {
      name: "a zone cut off from some servers",
      manner: ({ server, vmIndex, nowMs, random }) =>
        nowMs >= ONSET_MS && Number(server.slice(1)) % 3 === 0 &&
          vmIndex % 3 !== 0
          ? undefined
          : computeHealthyMs(random),
    },
  ])("accuses nobody under $name", ({ manner }) => {
    expect([...runTraffic(manner, { durationMs: 40_000 })]).toEqual([]);
  });

  it("works at one request in ten seconds", () => {
    const accused = runTraffic(
      (request) =>
        request.server === GRAY && request.nowMs >= 600_000
          ? undefined
          : computeHealthyMs(request.random),
      { durationMs: 1_200_000, perSecond: 0.1 },
    );
    expect([...accused.keys()]).toEqual([GRAY]);
  });
});
