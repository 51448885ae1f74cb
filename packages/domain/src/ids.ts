/** Branded identifier types of VMs, zones, teams, services, routes and keys. */

import type { Brand } from "./brand.ts";

/** Name of a proxy VM, stable across restarts of its process. */
export type VmId = Brand<string, "VmId">;
/** Name of an availability zone. */
export type ZoneId = Brand<string, "ZoneId">;
/** Name of a region, a group of availability zones. */
export type RegionId = Brand<string, "RegionId">;
/** Name of a team: a customer with its own API keys and rate limit. */
export type TeamId = Brand<string, "TeamId">;
/** Name of a service, a group of interchangeable backend servers. */
export type ServiceId = Brand<string, "ServiceId">;
/** Name of a backend server instance. */
export type ServerId = Brand<string, "ServerId">;
/** Name of a route, unique in the configuration. */
export type RouteId = Brand<string, "RouteId">;
/** SHA-256 of a caller's API key, in lower-case hexadecimal digits. */
export type KeyHash = Brand<string, "KeyHash">;
/** Identifier of one request, unique across the fleet. */
export type RequestId = Brand<string, "RequestId">;
/** Index of a shard, from 0 to the fleet's shard count minus one. */
export type ShardId = Brand<number, "ShardId">;
/** Configuration version; increases by one with each accepted proposal. */
export type ConfigurationVersion = Brand<number, "ConfigurationVersion">;

/**
 * Casts a plain value to a branded identifier type, without validation.
 *
 * @param value - the plain string or number
 * @returns the unchanged value with the branded type
 */
export function toId<Id extends string | number>(
  value: Id extends string ? string : number,
): Id {
  return value as unknown as Id;
}
