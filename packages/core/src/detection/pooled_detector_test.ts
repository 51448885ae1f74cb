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

/** Computes the latency of one request, or undefined for a failure. */
type ServerBehavior = (request: {
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

/**
 * Sends 20 requests per second to each server, or as many as given, and returns
 * when each server was first detected as gray.
 */
function runTraffic(
  behavior: ServerBehavior,
  options: { readonly durationMs: number; readonly perSecond?: number },
): ReadonlyMap<ServerId, number> {
  const random = new SeededRandomSource(7);
  const detector = new PooledDetector({ falseEjectionsPerServerDay: 0.01 });
  detector.setServers(SERVERS.map((id) => ({
    id,
    zone: ZONES[Number(id.slice(1)) % ZONES.length] ?? toId<ZoneId>("a"),
  })));
  const detected = new Map<ServerId, number>();
  const perStep = (options.perSecond ?? 20) * STEP_MS / 1_000;
  for (let nowMs = 0; nowMs < options.durationMs; nowMs += STEP_MS) {
    for (const server of SERVERS) {
      const count = Math.floor(perStep + random.sampleUniform());
      for (let index = 0; index < count; index += 1) {
        const vmIndex = random.pickIndex(VM_COUNT);
        const latencyMs = behavior({ server, vmIndex, nowMs, random });
        detector.observe(makeReport(server, vmIndex, latencyMs), nowMs);
      }
    }
    for (const { server } of detector.listDetected(nowMs)) {
      if (!detected.has(server)) {
        detected.set(server, nowMs);
      }
    }
  }
  return detected;
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

// Guards against gray servers that stay undetected, and against ejections of
// healthy servers under overload, a broken link or a partition between zones.
describe("PooledDetector", () => {
  it.each<{ name: string; limitMs: number; behavior: ServerBehavior }>([
    {
      name: "fails everything",
      limitMs: 1_000,
      behavior: ({ random }) => random.sampleUniform() < 0 ? 1 : undefined,
    },
    {
      name: "fails half",
      limitMs: 3_000,
      behavior: ({ random }) =>
        random.sampleUniform() < 0.5 ? undefined : computeHealthyMs(random),
    },
    {
      name: "is five times slower",
      limitMs: 3_000,
      behavior: ({ random }) => 5 * computeHealthyMs(random),
    },
  ])("detects a server that $name, and no other", ({ limitMs, behavior }) => {
    const detected = runTraffic(
      (request) =>
        request.server === GRAY && request.nowMs >= ONSET_MS
          ? behavior(request)
          : computeHealthyMs(request.random),
      { durationMs: 30_000 },
    );
    expect([...detected.keys()]).toEqual([GRAY]);
    expect((detected.get(GRAY) ?? Infinity) - ONSET_MS)
      .toBeLessThanOrEqual(limitMs);
  });

  it.each<{ name: string; behavior: ServerBehavior }>([
    {
      name: "healthy traffic",
      behavior: ({ random }) => computeHealthyMs(random),
    },
    {
      name: "everything five times slower at once",
      behavior: ({ nowMs, random }) =>
        (nowMs >= ONSET_MS ? 5 : 1) * computeHealthyMs(random),
    },
    {
      name: "a third of everything failing at once",
      behavior: ({ nowMs, random }) =>
        nowMs >= ONSET_MS && random.sampleUniform() < 0.33
          ? undefined
          : computeHealthyMs(random),
    },
    {
      name: "a broken link of one VM",
      behavior: ({ server, vmIndex, random }) =>
        server === GRAY && vmIndex === 5 ? undefined : computeHealthyMs(random),
    },
    {
      name: "a zone cut off from some servers",
      behavior: ({ server, vmIndex, nowMs, random }) =>
        nowMs >= ONSET_MS && Number(server.slice(1)) % 3 === 0 &&
          vmIndex % 3 !== 0
          ? undefined
          : computeHealthyMs(random),
    },
  ])("detects no server under $name", ({ behavior }) => {
    expect([...runTraffic(behavior, { durationMs: 40_000 })]).toEqual([]);
  });

  it("detects a failing server at one request in ten seconds", () => {
    const detected = runTraffic(
      (request) =>
        request.server === GRAY && request.nowMs >= 600_000
          ? undefined
          : computeHealthyMs(request.random),
      { durationMs: 1_200_000, perSecond: 0.1 },
    );
    expect([...detected.keys()]).toEqual([GRAY]);
  });
});
