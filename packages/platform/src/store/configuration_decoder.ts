/** Decodes the configuration that operators publish on the store. */

import type { FleetConfiguration } from "@limpetford/domain/fleet_configuration";
import type { HostRoute } from "@limpetford/domain/host_route";
import {
  type KeyHash,
  type RouteId,
  type ServiceId,
  type TeamId,
  toId,
} from "@limpetford/domain/ids";
import { makeError, makeOk, type Result } from "@limpetford/domain/result";
import { ROUTE_ACCESS } from "@limpetford/domain/route";
import * as z from "zod";

const MS_PER_S = 1_000;
/** Longest time; timers keep twice as much, so that margins may be added. */
const MAX_TIME_MS = 2 ** 30;
const IDEMPOTENT_ROUTE_KIND = "safe";
/** Priority of a route that sets none; 0 is the most urgent. */
const LOWEST_PRIORITY = Number.MAX_SAFE_INTEGER;
const ANY_METHOD = "*";

const routeSchema = z.object({
  host: z.string(),
  path_prefix: z.string(),
  kind: z.string(),
  timeout_s: z.number().positive(),
  target_latency_s: z.number().positive().optional(),
  maximum_attempts: z.number().int().positive().default(1),
  priority: z.number().default(LOWEST_PRIORITY),
  public: z.boolean().default(false),
  service: z.string().optional(),
  traffic_split: z.array(z.object({
    service: z.string(),
    weight: z.number().nonnegative(),
  })).optional(),
});
type RouteDocument = z.output<typeof routeSchema>;

const teamSchema = z.object({
  api_keys: z.array(z.string()).default([]),
  priority: z.number().optional(),
  rate_per_s: z.number().nonnegative().default(0),
  burst: z.number().nonnegative().default(0),
});

const configurationSchema = z.object({
  version: z.number(),
  routes: z.record(z.string(), routeSchema),
  services: z.record(
    z.string(),
    z.object({
      health_path: z.string().default("/health"),
      connection_limit: z.number().int().positive().default(1_000),
    }),
  ),
  limits: z.object({
    maximum_header_bytes: z.number().positive(),
    maximum_body_bytes: z.number().positive(),
    header_timeout_s: z.number().positive(),
    idle_timeout_s: z.number().positive(),
  }),
  tenants: z.record(z.string(), teamSchema).optional(),
});

/**
 * Decodes a configuration. Ignores unknown fields and routes without a
 * service.
 *
 * @param bytes - JSON document, the value of the configuration record
 * @param hashKey - hashes an API key, so that no VM keeps it in plain text
 * @returns the configuration, or a description of what is invalid
 */
export function decodeConfiguration(
  bytes: Buffer,
  hashKey: (secret: string) => KeyHash,
): Result<FleetConfiguration, string> {
  let document: unknown;
  try {
    document = JSON.parse(bytes.toString("utf8"));
  } catch (error) {
    return makeError(error instanceof Error ? error.message : String(error));
  }
  const parsed = configurationSchema.safeParse(document);
  if (!parsed.success) {
    return makeError(z.prettifyError(parsed.error));
  }
  const { version, routes, services, limits, tenants } = parsed.data;
  const teams = Object.entries(tenants ?? {});
  return makeOk({
    version,
    routes: Object.entries(routes).flatMap(([name, route]) =>
      convertRoute(name, route, limits.maximum_body_bytes)
    ),
    services: Object.entries(services).map(([name, service]) => ({
      id: toId<ServiceId>(name),
      healthPath: service.health_path,
      connections: service.connection_limit,
    })),
    teams: teams.map(([name, team]) => ({
      id: toId<TeamId>(name),
      ratePerSecond: team.rate_per_s,
      burst: team.burst,
      weight: 1,
      priority: team.priority,
    })),
    keys: teams.flatMap(([name, team]) =>
      team.api_keys.map((secret) => ({
        hash: hashKey(secret),
        team: toId<TeamId>(name),
      }))
    ),
    callerLimits: {
      headerBytes: limits.maximum_header_bytes,
      bodyBytes: limits.maximum_body_bytes,
      headerTimeoutMs: toTimeMs(limits.header_timeout_s),
      idleTimeoutMs: toTimeMs(limits.idle_timeout_s),
    },
    hasTeams: tenants !== undefined,
  });
}

function convertRoute(
  name: string,
  route: RouteDocument,
  bodyLimitBytes: number,
): HostRoute[] {
  const split = route.traffic_split ?? [];
  const targets = split.length > 0
    ? split.map(({ service, weight }) => ({
      service: toId<ServiceId>(service),
      weight,
    }))
    : route.service === undefined
    ? []
    : [{ service: toId<ServiceId>(route.service), weight: 1 }];
  const [first] = targets;
  if (first === undefined) {
    return [];
  }
  const deadlineMs = toTimeMs(route.timeout_s);
  return [{
    id: toId<RouteId>(name),
    service: first.service,
    targets,
    host: route.host.toLowerCase(),
    method: ANY_METHOD,
    pathPrefix: route.path_prefix,
    access: route.public ? ROUTE_ACCESS.open : ROUTE_ACCESS.team,
    isIdempotent: route.kind === IDEMPOTENT_ROUTE_KIND,
    deadlineMs,
    targetLatencyMs: route.target_latency_s === undefined
      ? deadlineMs
      : toTimeMs(route.target_latency_s),
    maxAttempts: route.maximum_attempts,
    priority: route.priority,
    bodyLimitBytes,
    derivedKeyWindowMs: 0,
  }];
}

function toTimeMs(seconds: number): number {
  return Math.min(seconds * MS_PER_S, MAX_TIME_MS);
}
