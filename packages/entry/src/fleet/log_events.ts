/** The catalogue of log lines; docs/operators/events.md is made from it. */

/** Severity of a line. */
export type LogLevel = "error" | "warn" | "info" | "debug";

interface FieldTypes {
  readonly "text": string;
  readonly "number": number;
  readonly "yes or no": boolean;
}

/** What one kind of line says. */
export interface LogEventDescription {
  readonly level: LogLevel;
  readonly meaning: string;
  /** Ages and durations are in milliseconds. */
  readonly fields: Readonly<Record<string, keyof FieldTypes>>;
}

/** Each kind of line, with its severity, its meaning and its fields. */
export const LOG_EVENTS = {
  "started": {
    level: "info",
    meaning: "the VM listens",
    fields: { caller: "text", peer: "text", zone: "text" },
  },
  "start-failed": {
    level: "error",
    meaning: "the process ends, since it could not start",
    fields: { cause: "text" },
  },
  "settings-reloaded": {
    level: "info",
    meaning: "the settings were read again; invalid ones are not used",
    fields: { isValid: "yes or no" },
  },
  "drain-started": {
    level: "info",
    meaning: "a planned stop began; what is in flight is finished",
    fields: { inFlight: "number" },
  },
  "stopped": {
    level: "info",
    meaning: "the process ends; what is in flight is cut",
    fields: { inFlight: "number" },
  },
  "store-lost": {
    level: "warn",
    meaning: "calls to the store began to fail",
    fields: { topic: "text", cause: "text" },
  },
  "store-regained": {
    level: "info",
    meaning: "the store answers again",
    fields: { topic: "text", failures: "number" },
  },
  "record-unreadable": {
    level: "warn",
    meaning: "a record of the store was left out",
    fields: { topic: "text", offset: "number", cause: "text" },
  },
  "configuration-in-force": {
    level: "info",
    meaning: "a configuration decides from now on",
    fields: { version: "number", offset: "number", source: "text" },
  },
  "server-announced": {
    level: "info",
    meaning: "a backend server came, or changed its state",
    fields: {
      server: "text",
      service: "text",
      state: "text",
      offset: "number",
    },
  },
  "server-gone": {
    level: "info",
    meaning: "a backend server is announced no more",
    fields: { server: "text", offset: "number" },
  },
  "lead-changed": {
    level: "info",
    meaning: "callers of a zone are told to use other VMs",
    fields: { zone: "text", lead: "text", before: "text" },
  },
  "peer-lost": {
    level: "warn",
    meaning: "another VM stopped answering",
    fields: { peer: "text", cause: "text" },
  },
  "peer-regained": {
    level: "info",
    meaning: "another VM answers again",
    fields: { peer: "text" },
  },
  "request-admitted": {
    level: "info",
    meaning: "key, route and limits allow the request",
    fields: {
      request: "text",
      route: "text",
      service: "text",
      team: "text",
      deadlineInMs: "number",
      configurationVersion: "number",
    },
  },
  "request-refused": {
    level: "warn",
    meaning: "the request ends with an answer of the VM's own",
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
    meaning: "the team has used what this VM may grant",
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
    meaning: "no slot is free, or only at doubtful servers",
    fields: { request: "text", service: "text", waiting: "number" },
  },
  "request-placed": {
    level: "info",
    meaning: "the request is sent to a backend server",
    fields: {
      request: "text",
      attempt: "number",
      server: "text",
      failureProbability: "number",
      load: "number",
      slots: "number",
      serversAgeMs: "number",
      waitedMs: "number",
    },
  },
  "attempt-ended": {
    level: "info",
    meaning: "one sending to a backend server has ended",
    fields: {
      request: "text",
      server: "text",
      outcome: "text",
      totalMs: "number",
    },
  },
  "request-answered": {
    level: "info",
    meaning: "the request ends with a backend server's answer",
    fields: { request: "text", status: "number", totalMs: "number" },
  },
  "request-abandoned": {
    level: "info",
    meaning: "the request ends without an answer, as its caller has left",
    fields: { request: "text", totalMs: "number" },
  },
  "lines-dropped": {
    level: "warn",
    meaning: "lines beyond the budget, or that the pipe did not take",
    fields: { count: "number" },
  },
} as const satisfies Readonly<Record<string, LogEventDescription>>;

/** Name of a line. */
export type LogEventName = keyof typeof LOG_EVENTS;

/** Fields of each line. */
export type LogEventFields = {
  readonly [Name in LogEventName]: {
    readonly [Field in keyof typeof LOG_EVENTS[Name]["fields"]]: FieldTypes[
      & typeof LOG_EVENTS[Name]["fields"][Field]
      & keyof FieldTypes
    ];
  };
};
