/** Catalogue of log events; docs/operators/events.md is generated from it. */

import type {
  FieldTypes,
  LogEventDescription,
} from "./log_event_description.ts";
import { SERVER_LOG_EVENTS } from "./server_log_events.ts";

/** All log events by name. */
export const LOG_EVENTS = {
  "started": {
    level: "info",
    meaning: "the VM listens on its addresses",
    fields: { build: "text", caller: "text", peer: "text", zone: "text" },
  },
  "start-failed": {
    level: "error",
    meaning: "the VM failed to start, and the process exits",
    fields: { cause: "text" },
  },
  "exception-uncaught": {
    level: "error",
    meaning:
      "a fault of the program: something threw and nothing caught it; the VM stops gracefully, and the process exits with 1",
    fields: { cause: "text", stack: "text" },
  },
  "exception-contained": {
    level: "error",
    meaning:
      "a fault of the program: something threw, and only the request, connection, call or step of `source` that it came from ended",
    fields: { source: "text", cause: "text", stack: "text" },
  },
  "settings-reloaded": {
    level: "info",
    meaning: "the settings file was checked; if valid, the next start uses it",
    fields: { isValid: "yes or no" },
  },
  "drain-started": {
    level: "info",
    meaning: "a graceful stop began; requests in flight are finished",
    fields: { inFlight: "number" },
  },
  "stopped": {
    level: "info",
    meaning: "the process exits; requests still in flight are aborted",
    fields: { inFlight: "number" },
  },
  "store-lost": {
    level: "warn",
    meaning: "calls to the store started to fail",
    fields: { topic: "text", cause: "text" },
  },
  "store-regained": {
    level: "info",
    meaning: "the store responds again",
    fields: { topic: "text", failures: "number" },
  },
  "record-unreadable": {
    level: "warn",
    meaning: "a record of the store could not be decoded and was skipped",
    fields: { topic: "text", key: "text", offset: "number", cause: "text" },
  },
  "configuration-in-force": {
    level: "info",
    meaning: "a configuration became active",
    fields: { version: "number", offset: "number", source: "text" },
  },
  "configuration-outdated": {
    level: "warn",
    meaning:
      "the store has an older configuration than the one in force, which stays",
    fields: {
      version: "number",
      inForce: "number",
      era: "number",
      offset: "number",
    },
  },
  "store-returned": {
    level: "warn",
    meaning:
      "the store has returned from an older copy; its offsets went back, and what it had acknowledged is written again",
    fields: {
      topic: "text",
      eraBefore: "number",
      offsetBefore: "number",
      era: "number",
      offset: "number",
    },
  },
  "server-announced": {
    level: "info",
    meaning: "a backend server was added or changed its state",
    fields: {
      server: "text",
      service: "text",
      state: "text",
      offset: "number",
    },
  },
  "lead-changed": {
    level: "info",
    meaning: "the VM that the callers of the zone should use has changed",
    fields: { zone: "text", lead: "text", before: "text" },
  },
  "vm-overloaded": {
    level: "warn",
    meaning:
      "the VM serves requests later than it could read them; it asks for one more leader in its zone",
    fields: {
      delayMs: "number",
      queueMs: "number",
      requestsPerSecond: "number",
    },
  },
  "peer-lost": {
    level: "warn",
    meaning: "another VM did not respond",
    fields: { peer: "text", cause: "text" },
  },
  "peer-outdated": {
    level: "warn",
    meaning:
      "another VM runs an earlier version; its configuration and servers are not read",
    fields: { peer: "text" },
  },
  "peer-build-differs": {
    level: "info",
    meaning:
      "the first VM of another build was heard; `none` if its build is too old to say which",
    fields: { peer: "text", build: "text" },
  },
  "peer-regained": {
    level: "info",
    meaning: "another VM responds again",
    fields: { peer: "text" },
  },
  "request-admitted": {
    level: "info",
    meaning:
      "key, route and rate limit allow the request; it lay unread for `maxUnreadMs` at most before it was read, and `queuedMs` after that",
    fields: {
      request: "text",
      route: "text",
      service: "text",
      team: "text",
      deadlineInMs: "number",
      maxUnreadMs: "number",
      queuedMs: "number",
      configurationVersion: "number",
    },
  },
  "request-refused": {
    level: "warn",
    meaning: "the VM itself answered the request with an error",
    fields: {
      request: "text",
      cause: "text",
      outcome: "text",
      status: "number",
      totalMs: "number",
      configurationVersion: "number",
      configurationAgeMs: "number",
    },
  },
  "request-limited": {
    level: "warn",
    meaning: "the team used up the share of its limit that this VM may grant",
    fields: {
      request: "text",
      team: "text",
      share: "number",
      demandPerSecond: "number",
      retryAfterMs: "number",
    },
  },
  "request-waits": {
    level: "info",
    meaning: "no slot is free, or only at servers that are likely to fail",
    fields: { request: "text", service: "text", waiting: "number" },
  },
  "request-placed": {
    level: "info",
    meaning: "the request is being sent to a backend server",
    fields: {
      request: "text",
      attempt: "number",
      server: "text",
      failureProbability: "number",
      load: "number",
      ownLoad: "number",
      slots: "number",
      serversAgeMs: "number",
      waitedMs: "number",
    },
  },
  "request-forwarded": {
    level: "info",
    meaning:
      "this VM reaches no server of the service; another VM sends the request",
    fields: { request: "text", service: "text", to: "text" },
  },
  "attempt-ended": {
    level: "info",
    meaning:
      "an attempt at a backend server or another VM ended; it was sent `sentAfterMs` after it began (-1 if never) over the connection of this number (0 if none was opened), which had carried `requestsBefore` others, and `copies` of earlier responses came before its own",
    fields: {
      request: "text",
      attempt: "number",
      server: "text",
      outcome: "text",
      totalMs: "number",
      sentAfterMs: "number",
      connection: "number",
      requestsBefore: "number",
      copies: "number",
    },
  },
  "retry-denied": {
    level: "info",
    meaning:
      "a failed attempt is not followed by another one, since the retry budget of its service is spent",
    fields: { request: "text", service: "text", outcome: "text" },
  },
  "response-unsized": {
    level: "info",
    meaning:
      "a server's response had no length and ended with its connection; `bytes` is the size of the body that was read, and its end was on its way or unread for `unreadMs` at most",
    fields: {
      request: "text",
      server: "text",
      outcome: "text",
      bytes: "number",
      unreadMs: "number",
    },
  },
  ...SERVER_LOG_EVENTS,
  "request-answered": {
    level: "info",
    meaning: "a backend server's response was sent to the caller",
    fields: { request: "text", status: "number", totalMs: "number" },
  },
  "request-abandoned": {
    level: "info",
    meaning: "the caller disconnected before the response",
    fields: { request: "text", totalMs: "number" },
  },
  "lines-dropped": {
    level: "warn",
    meaning: "log lines above the rate limit or the buffer size were dropped",
    fields: { count: "number" },
  },
} as const satisfies Readonly<Record<string, LogEventDescription>>;

/** Name of a log event. */
export type LogEventName = keyof typeof LOG_EVENTS;

/** Field values by event name. */
export type LogEventFields = {
  readonly [Name in LogEventName]: {
    readonly [Field in keyof typeof LOG_EVENTS[Name]["fields"]]: FieldTypes[
      & typeof LOG_EVENTS[Name]["fields"][Field]
      & keyof FieldTypes
    ];
  };
};
