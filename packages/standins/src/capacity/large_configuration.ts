/** Builds synthetic configurations of any size for measurements. */

import type { Configuration } from "@limpetford/domain/configuration";
import {
  type ConfigurationVersion,
  type KeyHash,
  type RouteId,
  type ServerId,
  type ServiceId,
  type TeamId,
  toId,
  type ZoneId,
} from "@limpetford/domain/ids";
import type { Route } from "@limpetford/domain/route";
import type { BackendServer, Service } from "@limpetford/domain/service";
import type { CallerKey, Team } from "@limpetford/domain/team";

/** Number of records of each kind. */
export interface ConfigurationSize {
  readonly services: number;
  readonly servers: number;
  readonly routes: number;
  /** Teams, with one caller key each. */
  readonly teams: number;
}

const ZONE_COUNT = 9;
const SLOTS = 3;
const CONNECTIONS = 400;
const HASH_DIGITS = 64;

/**
 * Builds a configuration with the given numbers of records.
 *
 * @param size - number of records of each kind
 * @returns configuration of version 1
 */
export function buildLargeConfiguration(
  size: ConfigurationSize,
): Configuration {
  return {
    version: toId<ConfigurationVersion>(1),
    services: listIndexes(size.services).map(buildService),
    servers: listIndexes(size.servers).map((index) =>
      buildServer(index, size.services)
    ),
    routes: listIndexes(size.routes).map((index) =>
      buildRoute(index, size.services)
    ),
    teams: listIndexes(size.teams).map(buildTeam),
    keys: listIndexes(size.teams).map(buildKey),
  };
}

/**
 * Builds the record of one team.
 *
 * @param index - number of the team, part of its id
 * @returns record with a rate of 10 to 99 requests/s
 */
export function buildTeam(index: number): Team {
  return {
    id: toId<TeamId>(`team-${index}`),
    ratePerSecond: 10 + index % 90,
    burst: 20 + index % 180,
    weight: 1,
  };
}

function listIndexes(count: number): readonly number[] {
  return Array.from({ length: count }, (_, index) => index);
}

function buildService(index: number): Service {
  return {
    id: toId<ServiceId>(`service-${index}`),
    floor: 0.6,
    falseEjectionsPerServerDay: 0.01,
    healthPath: "/health",
  };
}

function buildServer(index: number, services: number): BackendServer {
  return {
    id: toId<ServerId>(`server-${index}`),
    service: toId<ServiceId>(`service-${index % services}`),
    zone: toId<ZoneId>(`zone-${index % ZONE_COUNT}`),
    address: { host: `10.0.${index >> 8}.${index & 255}`, port: 8_080 },
    slots: SLOTS,
    connections: CONNECTIONS,
    state: "active",
  };
}

function buildRoute(index: number, services: number): Route {
  return {
    id: toId<RouteId>(`route-${index}`),
    service: toId<ServiceId>(`service-${index % services}`),
    method: "*",
    pathPrefix: `/service-${index % services}/route-${index}`,
    access: "team",
    isIdempotent: index % 10 !== 0,
    deadlineMs: 5_000,
    bodyLimitBytes: 65_536,
    derivedKeyWindowMs: 0,
  };
}

function buildKey(index: number): CallerKey {
  const digits = (index * 2_654_435_761).toString(16);
  return {
    hash: toId<KeyHash>(digits.padStart(HASH_DIGITS, "0")),
    team: toId<TeamId>(`team-${index}`),
  };
}
