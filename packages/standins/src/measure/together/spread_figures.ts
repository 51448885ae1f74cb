/** Seconds until a withdrawal or a sheet is in force at the last VM. */

import { planLogRead } from "@limpetford/core/configuration/log_read_plan";
import { SeededRandomSource } from "@limpetford/core/time/random_source";
import {
  type ConfigurationVersion,
  type KeyHash,
  toId,
} from "@limpetford/domain/ids";
import type { MonotoneFact } from "@limpetford/domain/monotone_fact";

import type { FigureTable } from "../measure_output.ts";
import { VirtualFleet } from "../virtual_fleet.ts";

const WARM_UP_MS = 10_000;
const LIMIT_MS = 60_000;
const TRIALS = 10;
const LOG_READ_MS = 50;
const MS_PER_SECOND = 1_000;

/** Figures of one size and disturbance. */
export interface SpreadRow {
  readonly size: number;
  readonly targetMs: number;
  readonly disturbance: string;
  /** Longest time of all trials; undefined if one did not end. */
  readonly withdrawalMs: number | undefined;
  /** The same for a sheet: the fact, then a read of the log by each VM. */
  readonly sheetMs: number | undefined;
}

interface Disturbance {
  readonly name: string;
  readonly apply: (fleet: VirtualFleet, random: SeededRandomSource) => void;
}

const DISTURBANCES: readonly Disturbance[] = [
  { name: "none", apply: () => undefined },
  {
    name: "a tenth of the messages lost",
    apply: (fleet, random) => {
      fleet.links.isCut = () => random.sampleUniform() < 0.1;
    },
  },
  {
    name: "a tenth of the VMs just killed",
    apply: (fleet) => {
      fleet.members
        .filter((_, index) => index % 10 === 5)
        .forEach((member) => {
          fleet.stopMember(member, LIMIT_MS);
        });
    },
  },
];

/**
 * Measures at today's size and at the size to come.
 *
 * @param seed - seed of all random numbers
 * @returns one row per size and disturbance
 */
export function measureSpread(seed: number): readonly SpreadRow[] {
  const sizes = [
    { size: 44, zoneCount: 3, targetMs: 5_000 },
    { size: 570, zoneCount: 9, targetMs: 11_000 },
  ];
  return sizes.flatMap(({ size, zoneCount, targetMs }) =>
    DISTURBANCES.map((disturbance) => {
      const random = new SeededRandomSource(seed);
      const fleet = new VirtualFleet({ size, seed, zoneCount });
      fleet.time.advanceTo(WARM_UP_MS);
      disturbance.apply(fleet, random);
      const times = Array.from(
        { length: TRIALS },
        (_, trial) => fleet.measureSpreadMs(makeFact(trial), LIMIT_MS),
      );
      const withdrawalMs = findLargest(times);
      return {
        size,
        targetMs,
        disturbance: disturbance.name,
        withdrawalMs,
        sheetMs: withdrawalMs === undefined
          ? undefined
          : withdrawalMs + estimateReadMs(size, random),
      };
    })
  );
}

/**
 * Arranges the times in a table.
 *
 * @param rows - the figures
 * @returns the table
 */
export function buildSpreadTable(rows: readonly SpreadRow[]): FigureTable {
  return {
    title: `Seconds until in force at the last VM, worst of ${TRIALS} trials`,
    columns: [
      "VMs",
      "target",
      "disturbance",
      "withdrawal, log up or away",
      "sheet, log up",
    ],
    rows: rows.map((row) => [
      String(row.size),
      formatSeconds(row.targetMs),
      row.disturbance,
      formatSeconds(row.withdrawalMs),
      formatSeconds(row.sheetMs),
    ]),
  };
}

function makeFact(trial: number): MonotoneFact {
  return trial % 2 === 0
    ? {
      kind: "key-withdrawn",
      key: toId<KeyHash>(String(trial).padStart(64, "0")),
    }
    : {
      kind: "configuration-version",
      version: toId<ConfigurationVersion>(trial),
    };
}

function estimateReadMs(size: number, random: SeededRandomSource): number {
  const delays = Array.from({ length: size }, () =>
    planLogRead({
      rank: size,
      logAgeMs: 0,
      isBehind: true,
      failureCount: 0,
      unit: random.sampleUniform(),
    }).delayMs);
  return Math.max(...delays) + LOG_READ_MS;
}

function findLargest(
  times: readonly (number | undefined)[],
): number | undefined {
  const known = times.filter((time) => time !== undefined);
  return known.length === times.length ? Math.max(...known) : undefined;
}

function formatSeconds(ms: number | undefined): string {
  return ms === undefined ? "not reached" : (ms / MS_PER_SECOND).toFixed(2);
}
