/** `npm run bench`: measures the latency and CPU time that a VM adds. */

import { parseArgs } from "node:util";

import type { SocketAddress } from "@limpetford/domain/vm";

import { HARNESS_KEY } from "../serving/serving_harness.ts";
import {
  type CaseResult,
  computeAddedMs,
  computeCpuUs,
  computeMedian,
  renderCases,
} from "./bench_report.ts";
import { BenchThread } from "./bench_thread_handle.ts";
import { type LoadResult, runClosedLoop, runOpenLoop } from "./load_run.ts";
import { type LoadRequest, LoadTarget } from "./load_target.ts";

const DEFAULT_SECONDS = "4";
const DEFAULT_ROUNDS = "3";
const WARMUP_MS = 1_000;
const MS_PER_SECOND = 1_000;
const US_PER_SECOND = 1_000_000;
const CONNECTIONS = 64;
/** Open-loop rate, as a share of the rate that saturates a core. */
const LOAD_SHARE_OF_CORE = 0.5;
const BACKEND_COUNT = 2;
const P99 = 99;
/** Most latency that a VM should add at the 99th percentile. */
const TARGET_ADDED_P99_MS = 1.4;
/** Idempotent requests per second that one core should serve. */
const TARGET_RATE_PER_CORE = 5_000;

const COMMON_HEADERS = [
  "authorization",
  `Bearer ${HARNESS_KEY}`,
  "accept",
  "application/json",
];
const READ: LoadRequest = {
  method: "GET",
  path: "/read/bands?day=2026-05-01",
  headers: COMMON_HEADERS,
};
const CONFIRM: LoadRequest = {
  method: "POST",
  path: "/confirm",
  headers: [...COMMON_HEADERS, "content-type", "application/json"],
  body: JSON.stringify({ band: "a", day: "2026-05-01", deposit: 100 }),
  hasIdempotencyKey: true,
};

/** One case of the benchmark: a request, sent direct or through a VM. */
interface BenchCase {
  readonly name: string;
  readonly address: SocketAddress;
  readonly request: LoadRequest;
  /** Thread whose CPU time is reported. */
  readonly thread: BenchThread;
}

interface BenchFleet {
  readonly backends: readonly BenchThread[];
  /** Runs claimed requests itself. */
  readonly holder: BenchThread;
  /** Forwards claimed requests to the holder. */
  readonly forwarder: BenchThread;
}

async function runBench(): Promise<void> {
  const { values } = parseArgs({
    options: {
      seconds: { type: "string", default: DEFAULT_SECONDS },
      rounds: { type: "string", default: DEFAULT_ROUNDS },
    },
  });
  const measuredMs = Number(values.seconds) * MS_PER_SECOND;
  const fleet = await startFleet();
  const cases = listCases(fleet);
  const rates = new Map<string, number>();
  for (const benchCase of cases.slice(-3)) {
    const cpuUs = computeCpuUs(await runCase(benchCase, measuredMs, undefined));
    rates.set(benchCase.name, US_PER_SECOND / cpuUs);
  }
  const readRate = (rates.get("read, through limpetford") ?? 0) *
    LOAD_SHARE_OF_CORE;
  const claimRate = (rates.get("claimed, at the holder") ?? 0) *
    LOAD_SHARE_OF_CORE;
  const results = cases.map((benchCase) => ({
    name: benchCase.name,
    rounds: [] as LoadResult[],
  }));
  for (let round = 0; round < Number(values.rounds); round++) {
    for (const [index, benchCase] of cases.entries()) {
      const rate = benchCase.request === READ ? readRate : claimRate;
      results[index]?.rounds.push(await runCase(benchCase, measuredMs, rate));
    }
  }
  printReport(results, rates);
  const threads = [...fleet.backends, fleet.holder, fleet.forwarder];
  await Promise.all(threads.map((thread) => thread.stop()));
}

async function startFleet(): Promise<BenchFleet> {
  const backends = await Promise.all(
    Array.from(
      { length: BACKEND_COUNT },
      () => BenchThread.start({ kind: "backend" }),
    ),
  );
  const addresses = backends.map((backend) => backend.address);
  const holder = await BenchThread.start({
    kind: "vm",
    backends: addresses,
    holder: undefined,
  });
  const forwarder = await BenchThread.start({
    kind: "vm",
    backends: addresses,
    holder: holder.address,
  });
  return { backends, holder, forwarder };
}

function listCases(
  { backends, holder, forwarder }: BenchFleet,
): readonly BenchCase[] {
  const [direct = holder] = backends;
  const build = (
    name: string,
    request: LoadRequest,
    thread: BenchThread,
  ): BenchCase => ({ name, request, thread, address: thread.address });
  return [
    build("read, direct", READ, direct),
    build("claimed, direct", CONFIRM, direct),
    build("read, through limpetford", READ, holder),
    build("claimed, at the holder", CONFIRM, holder),
    build("claimed, at the wrong VM", CONFIRM, forwarder),
  ];
}

let runCount = 0;

async function runCase(
  benchCase: BenchCase,
  measuredMs: number,
  ratePerSecond: number | undefined,
): Promise<LoadResult> {
  runCount += 1;
  const target = new LoadTarget(benchCase.address, benchCase.request, {
    connections: CONNECTIONS,
    keyPrefix: `run-${runCount}`,
  });
  const duration = {
    warmupMs: WARMUP_MS,
    measuredMs,
    readTimes: () => benchCase.thread.readTimes(),
  };
  const result = ratePerSecond === undefined
    ? await runClosedLoop(target, duration)
    : await runOpenLoop(target, ratePerSecond, duration);
  await target.close();
  return result;
}

function printReport(
  results: readonly CaseResult[],
  rates: ReadonlyMap<string, number>,
): void {
  console.log(renderCases(results));
  for (const [name, rate] of rates) {
    console.log(`${name}: ${rate.toFixed(0)} requests/s per core, saturated`);
  }
  console.log(`target for reads: ${TARGET_RATE_PER_CORE} requests/s per core`);
  const pairs = [
    { base: "read, direct", compared: "read, through limpetford" },
    { base: "claimed, direct", compared: "claimed, at the holder" },
    { base: "claimed, direct", compared: "claimed, at the wrong VM" },
  ];
  for (const pair of pairs) {
    const added = computeAddedMs(results, pair, P99);
    console.log(
      `added at p99, ${pair.compared}: median ${
        computeMedian(added).toFixed(2)
      } ms` +
        ` of rounds ${added.map((addedMs) => addedMs.toFixed(2)).join(", ")}` +
        ` (target ${TARGET_ADDED_P99_MS})`,
    );
  }
  console.log(
    "The load, each backend server and each VM run on their own thread; " +
      `the load uses ${LOAD_SHARE_OF_CORE} of a core at the first VM.`,
  );
}

await runBench();
