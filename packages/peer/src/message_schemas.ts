/** Checks the form of messages between VMs. */

import { SUSPICION_STATUS } from "@limpetford/core/quarantine/suspicion";
import { ROUTE_ACCESS } from "@limpetford/domain/route";
import { SERVER_STATE } from "@limpetford/domain/service";
import * as z from "zod";

const MAX_PORT = 65_535;
/** An identifier is sent in a header. */
const ID_PATTERN = /^[!-~]{1,255}$/;

// JSON has no infinite numbers and writes them as null.
const number = z.number().nullable();
const address = z.object({
  host: z.ipv4(),
  port: z.number().int().min(1).max(MAX_PORT),
});
const position = z.object({ era: z.number(), offset: z.number() });
const clockReading = z.object({ startedAtMs: z.number(), clockMs: number });

const vm = z.object({
  incarnation: z.object({ vm: z.string(), startedAtMs: z.number() }),
  zone: z.string(),
  region: z.string(),
  callerAddress: address,
  peerAddress: address,
  operatorAddress: address.optional(),
  weight: number,
});

const server = z.object({
  id: z.string().regex(ID_PATTERN),
  service: z.string(),
  zone: z.string(),
  address,
  slots: z.number(),
  state: z.enum(SERVER_STATE),
  warmUpLeftMs: number,
  startedAtMs: z.number(),
  sequence: z.number(),
});

const route = z.object({
  id: z.string(),
  service: z.string(),
  method: z.string(),
  pathPrefix: z.string(),
  access: z.enum(ROUTE_ACCESS),
  isIdempotent: z.boolean(),
  deadlineMs: number,
  bodyLimitBytes: number,
  derivedKeyWindowMs: number,
  host: z.string(),
  targets: z.array(z.object({ service: z.string(), weight: number })),
  maxAttempts: number,
  targetLatencyMs: number,
  priority: number,
});

const configuration = z.object({
  version: z.number(),
  routes: z.array(route),
  services: z.array(z.object({
    id: z.string(),
    healthPath: z.string(),
    connections: number,
  })),
  teams: z.array(z.object({
    id: z.string(),
    ratePerSecond: number,
    burst: number,
    weight: number,
    priority: number.optional(),
  })),
  keys: z.array(z.object({ hash: z.string(), team: z.string() })),
  callerLimits: z.object({
    headerBytes: number,
    bodyBytes: number,
    headerTimeoutMs: number,
    idleTimeoutMs: number,
  }),
  hasTeams: z.boolean(),
});

const evidence = z.array(z.tuple([z.string(), z.string(), z.boolean()]));
const rates = z.array(z.tuple([z.string(), number]));
const suspicions = z.array(z.object({
  fingerprint: z.string(),
  generation: z.number(),
  status: z.enum(SUSPICION_STATUS),
  runs: z.array(z.object({
    id: z.string(),
    server: z.string(),
    ranMs: number,
    ageMs: number,
    wasServerRunning: z.boolean().optional(),
    wasGivenUp: z.boolean().optional(),
    wasAmidOthers: z.boolean().optional(),
  })),
}));
const serverLimit = z.object({
  server: z.string(),
  startedAtMs: z.number(),
  requestsPerSecond: number.optional(),
  ageMs: number,
});
const grant = clockReading.extend({ vm: z.string() });

const commonMessage = z.object({
  from: z.string(),
  startedAtMs: z.number(),
  clockMs: z.number(),
  echo: clockReading.optional(),
  record: vm.optional(),
  build: z.string().optional(),
  knowsReceiver: z.boolean(),
  isLeaving: z.boolean(),
  leads: z.array(z.object({
    vm: z.string(),
    sinceMs: z.number(),
    ageMs: number,
    requestsPerSecond: number,
  })),
  vmCount: z.number(),
  vmListDigest: z.number().optional(),
  codec: z.number().optional(),
  vms: z.array(vm).optional(),
  report: z.object({ evidence, loads: rates, demand: rates }).optional(),
  suspicions: z.object({
    rows: suspicions,
    revision: z.number(),
    seenRevision: z.number(),
    isComplete: z.boolean().optional(),
  }).optional(),
  serverLimits: z.array(serverLimit).optional(),
  reach: z.array(z.object({
    vm: z.string(),
    lostServices: z.array(z.string()),
    reachedAgeMs: number,
    ageMs: number,
  })).optional(),
});

/** Message that two VMs exchange. */
export const SYNC_MESSAGE_SCHEMA = z.union([
  commonMessage.extend({
    storeEra: z.number(),
    configurationVersion: z.number(),
    configurationPosition: position.optional(),
    configurationAgeMs: number,
    configuration: configuration.optional(),
    servers: z.object({
      changes: z.array(z.object({
        server,
        isGone: z.boolean(),
        position,
        goneInMs: number.optional(),
      })),
      revision: z.number(),
      isComplete: z.boolean(),
      seenRevision: z.number(),
      position: position.optional(),
      ageMs: number,
    }),
  }),
  // Of a VM of an earlier version, whose configuration and servers are not read.
  commonMessage.extend({ storeEra: z.undefined().optional() }),
]);

/** Evidence that does not wait for the next exchange. */
export const EVIDENCE_SCHEMA = z.object({
  from: z.string(),
  evidence,
  suspicions: suspicions.optional(),
  crashes: z.array(z.tuple([z.string(), number])).optional(),
});

/** Request for a token of a team. */
export const TOKEN_REQUEST_SCHEMA = z.object({ team: z.string() });

/** Reply to a request for a token of a team. */
export const TOKEN_REPLY_SCHEMA = z.object({
  isGranted: z.boolean(),
  retryAfterMs: number,
});

/** Request for a token of a backend server's rate limit. */
export const SERVER_TOKEN_REQUEST_SCHEMA = z.object({
  limit: serverLimit,
  zone: z.string(),
});

/** Reply to a request for a token of a backend server's rate limit. */
export const SERVER_TOKEN_REPLY_SCHEMA = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("granted"), grant }),
  z.object({ kind: z.literal("refused"), retryAfterMs: number }),
  z.object({ kind: z.literal("not-owner") }),
  z.object({ kind: z.literal("ended"), ageMs: number }),
]);

/** What a response says of its server's rate limit. */
export const SERVER_LIMIT_REPORT_SCHEMA = z.object({
  server: z.string(),
  startedAtMs: z.number(),
  requestsPerSecond: number.optional(),
  grant: grant.optional(),
});

/** Reply that only acknowledges. */
export const EMPTY_REPLY_SCHEMA = z.object({});
