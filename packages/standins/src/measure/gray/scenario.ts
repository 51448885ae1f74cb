/** Schema and loader of the YAML files that describe fault scenarios. */

import { readFileSync } from "node:fs";

import { parse } from "yaml";
import { z } from "zod";

/** Sizes of the users' services, each spread over three zones. */
export const SITES = {
  "ferreyra-booking": {
    servers: 20,
    connections: 400,
    zoneDelayMs: 1,
    falseEjectionsPerServerDay: 0.01,
  },
  "ferreyra-calendar": {
    servers: 15,
    connections: 400,
    zoneDelayMs: 1,
    falseEjectionsPerServerDay: 0.01,
  },
  "brazos-dispatch": {
    servers: 20,
    connections: 350,
    zoneDelayMs: 0.5,
    falseEjectionsPerServerDay: 0.1,
  },
  "brazos-calendar": {
    servers: 12,
    connections: 350,
    zoneDelayMs: 0.5,
    falseEjectionsPerServerDay: 0.1,
  },
} as const;
/** Name of a service in {@link SITES}. */
export type SiteName = keyof typeof SITES;

const SITE_NAMES = Object.keys(SITES) as [SiteName, ...SiteName[]];
const COMMON_FIELDS = {
  onsetMs: z.number().nonnegative(),
  /** Default: until the end of the run. */
  durationMs: z.number().positive().optional(),
};
const SERVER_FIELDS = {
  ...COMMON_FIELDS,
  /** Number of affected servers. */
  servers: z.number().int().positive().default(1),
};

const FAULT_SCHEMA = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("fail"),
    share: z.number().min(0).max(1),
    ...SERVER_FIELDS,
  }),
  z.strictObject({
    kind: z.literal("slow"),
    factor: z.number().positive(),
    ...SERVER_FIELDS,
  }),
  z.strictObject({ kind: z.literal("black-hole"), ...SERVER_FIELDS }),
  z.strictObject({ kind: z.literal("crash"), ...SERVER_FIELDS }),
  z.strictObject({
    kind: z.literal("flapping"),
    periodMs: z.number().positive(),
    ...SERVER_FIELDS,
  }),
  z.strictObject({
    kind: z.literal("shed"),
    share: z.number().min(0).max(1),
    ...SERVER_FIELDS,
  }),
  z.strictObject({
    kind: z.literal("cold-start"),
    factor: z.number().positive(),
    warmUpMs: z.number().positive(),
    ...SERVER_FIELDS,
  }),
  z.strictObject({ kind: z.literal("drain"), ...SERVER_FIELDS }),
  /** The links between some VMs and the servers are cut. */
  z.strictObject({
    kind: z.literal("link-cut"),
    vms: z.number().int().positive(),
    ...SERVER_FIELDS,
  }),
  /** Requests arrive and run; responses to one zone's VMs are lost. */
  z.strictObject({ kind: z.literal("one-way-cut"), ...SERVER_FIELDS }),
  /** VMs cannot reach the servers of one other zone. */
  z.strictObject({ kind: z.literal("zone-cut"), ...COMMON_FIELDS }),
  /** Open connections of some VMs stop responding; new ones work. */
  z.strictObject({
    kind: z.literal("silent-connections"),
    vms: z.number().int().positive(),
    ...SERVER_FIELDS,
  }),
  z.strictObject({
    kind: z.literal("overload"),
    factor: z.number().positive(),
    ...COMMON_FIELDS,
  }),
  /** One team sends a multiple of its rate. */
  z.strictObject({
    kind: z.literal("team-surge"),
    factor: z.number().positive(),
    ...COMMON_FIELDS,
  }),
  /** One team's requests take a multiple of the usual service time. */
  z.strictObject({
    kind: z.literal("slow-team"),
    factor: z.number().positive(),
    ...COMMON_FIELDS,
  }),
  z.strictObject({
    kind: z.literal("slow-route"),
    factor: z.number().positive(),
    ...COMMON_FIELDS,
  }),
  z.strictObject({
    kind: z.literal("large-answers"),
    share: z.number().min(0).max(1),
    ...COMMON_FIELDS,
  }),
  /** A request crashes each server that runs it; its caller resends it. */
  z.strictObject({
    kind: z.literal("crashing-request"),
    resends: z.number().int().positive(),
    ...COMMON_FIELDS,
  }),
  /** Health endpoints report working servers as unhealthy. */
  z.strictObject({ kind: z.literal("lying-health"), ...SERVER_FIELDS }),
  /** The service's coordinator, which holds its shard, is unreachable. */
  z.strictObject({ kind: z.literal("holder-cut"), ...COMMON_FIELDS }),
]);

const SCENARIO_SCHEMA = z.strictObject({
  name: z.string().min(1),
  sites: z.array(z.enum(SITE_NAMES)).min(1)
    .default(["ferreyra-booking", "brazos-calendar"]),
  vms: z.number().int().positive().default(44),
  floor: z.number().min(0).max(1).default(0.6),
  requestsPerServerSecond: z.number().positive().default(20),
  durationMs: z.number().positive(),
  /** Longest acceptable time until every gray server is ejected. */
  detectionTargetMs: z.number().positive().optional(),
  seed: z.number().int().default(1),
  faults: z.array(FAULT_SCHEMA),
});

/** Fault with its kind, onset and parameters. */
export type Fault = z.infer<typeof FAULT_SCHEMA>;
/** Fleet size, load and faults of one simulation. */
export type Scenario = z.infer<typeof SCENARIO_SCHEMA>;

/**
 * Parses a scenario and fills in defaults.
 *
 * @param text - YAML document
 * @returns validated scenario
 * @throws ZodError if it does not follow the schema
 */
export function parseScenario(text: string): Scenario {
  return SCENARIO_SCHEMA.parse(parse(text));
}

/**
 * Loads a scenario from a file.
 *
 * @param path - path of the YAML file
 * @returns validated scenario
 * @throws ZodError if it does not follow the schema
 */
export function loadScenario(path: string): Scenario {
  return parseScenario(readFileSync(path, "utf8"));
}

/**
 * Checks whether a fault is active.
 *
 * @param fault - fault of a scenario
 * @param nowMs - milliseconds since the start of the scenario
 * @returns true from the onset until the end, exclusive
 */
export function isActive(fault: Fault, nowMs: number): boolean {
  const endMs = fault.onsetMs + (fault.durationMs ?? Number.POSITIVE_INFINITY);
  return nowMs >= fault.onsetMs && nowMs < endMs;
}
