/** JSON encoding and validation of configuration records in the log. */

import { z } from "zod";

import type { ConfigurationRecord } from "./configuration_record.ts";
import {
  type ConfigurationVersion,
  type KeyHash,
  type RouteId,
  type ServerId,
  type ServiceId,
  type TeamId,
  toId,
  type ZoneId,
} from "./ids.ts";
import { makeError, makeOk, type Result } from "./result.ts";
import { ROUTE_ACCESS } from "./route.ts";
import { SERVER_STATE } from "./service.ts";

/** Reports that a payload is not a valid configuration record. */
export interface MalformedRecordError {
  readonly kind: "malformed-record";
  readonly cause: string;
}

const version = z.int().min(0).transform((value) =>
  toId<ConfigurationVersion>(value)
);
const keyHash = z.string().regex(/^[0-9a-f]{64}$/).transform((value) =>
  toId<KeyHash>(value)
);
const serviceId = z.string().min(1).transform((value) =>
  toId<ServiceId>(value)
);
const serverId = z.string().min(1).transform((value) => toId<ServerId>(value));
const routeId = z.string().min(1).transform((value) => toId<RouteId>(value));
const teamId = z.string().min(1).transform((value) => toId<TeamId>(value));
const zoneId = z.string().min(1).transform((value) => toId<ZoneId>(value));

const address = z.object({
  host: z.string().min(1),
  port: z.int().min(1).max(65_535),
});

const service = z.object({
  id: serviceId,
  floor: z.number().min(0).max(1),
  falseEjectionsPerServerDay: z.number().min(0),
  healthPath: z.string().startsWith("/"),
});

const server = z.object({
  id: serverId,
  service: serviceId,
  zone: zoneId,
  address,
  slots: z.int().min(1),
  connections: z.int().min(1),
  state: z.enum(SERVER_STATE),
});

const route = z.object({
  id: routeId,
  service: serviceId,
  method: z.string().regex(/^(\*|[A-Z]+)$/),
  pathPrefix: z.string().startsWith("/"),
  access: z.enum(ROUTE_ACCESS),
  isIdempotent: z.boolean(),
  deadlineMs: z.number().positive(),
  bodyLimitBytes: z.int().min(0),
  derivedKeyWindowMs: z.number().min(0),
});

const team = z.object({
  id: teamId,
  ratePerSecond: z.number().positive(),
  burst: z.number().min(1),
  weight: z.number().positive(),
});

const key = z.object({ hash: keyHash, team: teamId });

const change = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("put-service"), service }),
  z.object({ kind: z.literal("remove-service"), id: serviceId }),
  z.object({ kind: z.literal("put-server"), server }),
  z.object({ kind: z.literal("remove-server"), id: serverId }),
  z.object({ kind: z.literal("put-route"), route }),
  z.object({ kind: z.literal("remove-route"), id: routeId }),
  z.object({ kind: z.literal("put-team"), team }),
  z.object({ kind: z.literal("remove-team"), id: teamId }),
  z.object({ kind: z.literal("put-key"), key }),
  z.object({ kind: z.literal("remove-key"), hash: keyHash }),
]);

const configuration = z.object({
  version,
  services: z.array(service),
  servers: z.array(server),
  routes: z.array(route),
  teams: z.array(team),
  keys: z.array(key),
});

const configurationRecord = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("proposal"),
    id: z.string().min(1),
    basedOn: version,
    proposer: z.string(),
    proposedAtMs: z.number(),
    changes: z.array(change),
  }),
  z.object({ kind: z.literal("key-withdrawn"), key: keyHash }),
  z.object({
    kind: z.literal("checkpoint"),
    upToOffset: z.int().min(0),
    configuration,
    withdrawnKeys: z.array(keyHash),
  }),
]);

/**
 * Encodes a record for the configuration stream.
 *
 * @param record - record to append to the log
 * @returns the record as JSON in UTF-8
 */
export function encodeConfigurationRecord(
  record: ConfigurationRecord,
): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(record));
}

/**
 * Decodes a record of the configuration stream and validates its schema.
 *
 * @param payload - bytes read from the log, expected to be JSON in UTF-8
 * @returns the record, or the decoding or validation error
 */
export function decodeConfigurationRecord(
  payload: Uint8Array,
): Result<ConfigurationRecord, MalformedRecordError> {
  let value: unknown;
  try {
    value = JSON.parse(
      new TextDecoder("utf-8", { fatal: true }).decode(payload),
    );
  } catch (error) {
    return makeError({ kind: "malformed-record", cause: String(error) });
  }
  const parsed = configurationRecord.safeParse(value);
  return parsed.success
    ? makeOk(parsed.data)
    : makeError({ kind: "malformed-record", cause: parsed.error.message });
}
