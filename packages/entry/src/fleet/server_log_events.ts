/** Log events on backend servers, their limits, and requests that crash them. */

import type { LogEventDescription } from "./log_event_description.ts";

/** These events by name. */
export const SERVER_LOG_EVENTS = {
  "server-gone": {
    level: "info",
    meaning:
      "this VM has read in the store that a backend server is no longer announced; its list was confirmed `listAgeMs` ago (none if never), and the server is used for `deferredMs` more",
    fields: {
      server: "text",
      offset: "number",
      listAgeMs: "number",
      deferredMs: "number",
    },
  },
  "removal-deferred": {
    level: "info",
    meaning:
      "the VM `source` has told of a removed backend server that is still used for `forMs`",
    fields: {
      server: "text",
      source: "text",
      forMs: "number",
      listAgeMs: "number",
    },
  },
  "server-removed": {
    level: "info",
    meaning:
      "the pending removal of a backend server took effect at this VM; the server is out of use",
    fields: { server: "text", listAgeMs: "number" },
  },
  "servers-suspected": {
    level: "info",
    meaning:
      "attempts at several servers of a service failed on the way without an answer from any; connects showed whether the links of this VM are at fault",
    fields: {
      service: "text",
      silentMs: "number",
      accepted: "number",
      refused: "number",
      unanswered: "number",
    },
  },
  "servers-unreachable": {
    level: "warn",
    meaning: "this VM can connect to no server of a service",
    fields: { service: "text", silentMs: "number" },
  },
  "servers-reachable": {
    level: "info",
    meaning: "this VM can connect to servers of a service again",
    fields: { service: "text", lostMs: "number" },
  },
  "attempt-broken": {
    level: "warn",
    meaning:
      "an attempt ended without a response; `fingerprint` is the same each time the same team sends the same request, `connect` is the result of a new connection to the server",
    fields: {
      request: "text",
      fingerprint: "text",
      attempt: "number",
      server: "text",
      outcome: "text",
      connect: "text",
    },
  },
  "server-crashed": {
    level: "warn",
    meaning:
      "a backend server refuses connections after requests in flight there broke",
    fields: { server: "text", requests: "number" },
  },
  "request-suspect": {
    level: "info",
    meaning:
      "an equal request was in flight when servers crashed, so this one runs alone (`suspect`) or is refused (`quarantined`)",
    fields: {
      request: "text",
      fingerprint: "text",
      status: "text",
      crashes: "number",
    },
  },
  "request-cleared": {
    level: "info",
    meaning:
      "a server served a request that was in flight when servers crashed, so it is no longer suspect",
    fields: { request: "text", fingerprint: "text", server: "text" },
  },
  "request-quarantined": {
    level: "warn",
    meaning:
      "a request has crashed several servers and does not run any more; `source` is `observed`, `store`, or the VM that reported it",
    fields: {
      fingerprint: "text",
      crashes: "number",
      servers: "text",
      source: "text",
    },
  },
  "suspicions-known": {
    level: "info",
    meaning:
      "the VM has started and knows which requests crash servers; `source` is `store`, or the VM that reported them",
    fields: { source: "text", count: "number" },
  },
  "suspicions-unknown": {
    level: "warn",
    meaning:
      "the VM has started and serves callers without knowing which requests crash servers, since neither the store nor another VM has told it",
    fields: { waitedMs: "number" },
  },
  "suspicion-stored": {
    level: "info",
    meaning:
      "what is known of a request that may crash servers was written to the store",
    fields: { fingerprint: "text", status: "text" },
  },
  "server-leaving": {
    level: "info",
    meaning:
      "a backend server says in its response that it is leaving; it gets no new requests until it has started again",
    fields: { server: "text", request: "text" },
  },
  "server-paused": {
    level: "info",
    meaning:
      "a backend server turned the request away and wants no requests from this VM for `forMs`",
    fields: { server: "text", request: "text", forMs: "number" },
  },
  "server-limit-named": {
    level: "info",
    meaning:
      "a backend server names a rate limit for all VMs together; `source` is `observed`, or the VM that reported it",
    fields: { server: "text", requestsPerSecond: "number", source: "text" },
  },
  "server-limit-ended": {
    level: "info",
    meaning:
      "a backend server no longer names a rate limit; `source` is `observed`, or the VM that reported it",
    fields: { server: "text", source: "text" },
  },
  "server-token-lost": {
    level: "warn",
    meaning:
      "the VM that grants the tokens of a backend server's rate limit did not answer",
    fields: { owner: "text", cause: "text" },
  },
  "request-deferred": {
    level: "info",
    meaning:
      "the request does not go to a backend server that names a rate limit, since no token was granted: `no-token` is left, the VM that was asked is `not-owner`, `no-owner` is known, or `owner-silent`",
    fields: {
      request: "text",
      server: "text",
      cause: "text",
      retryAfterMs: "number",
    },
  },
  "server-limit-unreadable": {
    level: "warn",
    meaning:
      "a backend server names a rate limit that is not a number; the limit known before stays",
    fields: { server: "text", request: "text" },
  },
} as const satisfies Readonly<Record<string, LogEventDescription>>;
