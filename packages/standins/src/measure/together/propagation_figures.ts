/**
 * Measures how long the withdrawal of an API key, or a new sheet, takes until it
 * is in force at every VM.
 */

import { planLogRead } from "@limpetford/core/configuration/log_read_plan";
import { SeededRandomSource } from "@limpetford/core/time/random_source";
import {
  type ConfigurationVersion,
  type KeyHash,
  toId,
} from "@limpetford/domain/ids";
import type { MonotoneFact } from "@limpetford/domain/monotone_fact";

import type { FigureTable } from "../measure_output.ts";
import { MembershipFleet } from "../membership_fleet.ts";

const WARM_UP_MS = 10_000;
/** Time after which a trial counts as not propagated. */
const TIMEOUT_MS = 60_000;
const TRIAL_COUNT = 10;
/** Assumed duration of one read of the log. */
const LOG_READ_DURATION_MS = 50;
const MS_PER_SECOND = 1_000;

/**
 * Propagation times at one fleet size under one disturbance. Written to the JSON
 * file as it is.
 */
export interface PropagationRow {
  /** Number of VMs. */
  readonly size: number;
  /** Time within which every VM must apply a withdrawal. */
  readonly targetMs: number;
  readonly disturbance: string;
  /** Longest time of all trials; undefined if one of them timed out. */
  readonly withdrawalMs: number | undefined;
  /** The same for a sheet: VMs learn its version by gossip, then read it. */
  readonly sheetMs: number | undefined;
}

interface Disturbance {
  readonly name: string;
  readonly apply: (fleet: MembershipFleet, random: SeededRandomSource) => void;
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
          fleet.stopMember(member, TIMEOUT_MS);
        });
    },
  },
];

/**
 * Measures at the current fleet size and at the planned one.
 *
 * @param seed - seed of all random numbers
 * @returns one row per size and disturbance
 */
export function measurePropagation(seed: number): readonly PropagationRow[] {
  const sizes = [
    { size: 44, zoneCount: 3, targetMs: 5_000 },
    { size: 570, zoneCount: 9, targetMs: 11_000 },
  ];
  return sizes.flatMap(({ size, zoneCount, targetMs }) =>
    DISTURBANCES.map((disturbance) => {
      const random = new SeededRandomSource(seed);
      const fleet = new MembershipFleet({ size, seed, zoneCount });
      fleet.time.advanceTo(WARM_UP_MS);
      disturbance.apply(fleet, random);
      const times = Array.from(
        { length: TRIAL_COUNT },
        (_, trial) => fleet.measurePropagationMs(makeFact(trial), TIMEOUT_MS),
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
 * Builds the printed table of propagation times.
 *
 * @param rows - times, one row per size and disturbance
 * @returns a table with times in seconds, "not reached" after a timeout
 */
export function buildPropagationTable(
  rows: readonly PropagationRow[],
): FigureTable {
  return {
    title: `Seconds until in force at every VM, worst of ${TRIAL_COUNT} trials`,
    columns: [
      "VMs",
      "target",
      "disturbance",
      "withdrawal, log available or not",
      "sheet, log available",
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
      jitter: random.sampleUniform(),
    }).delayMs);
  return Math.max(...delays) + LOG_READ_DURATION_MS;
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
