/** Schema of the settings file of an entry VM. */

import * as z from "zod";

import { addressSchema, durationSchema, sizeSchema } from "./units.ts";

const DEFAULT_DRAIN_TIMEOUT_MS = 60_000;
const DEFAULT_TRACE_SHARE = 0.01;

const nameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "expected lower-case letters, digits and hyphens",
);
const countSchema = z.number().int().positive();
const pathSchema = z.string().min(1);

const vmSchema = z.strictObject({
  id: nameSchema,
  zone: nameSchema,
  region: nameSchema,
  weight: z.number().positive().default(1),
});

const addressesSchema = z.strictObject({
  caller: addressSchema,
  peer: addressSchema,
  operator: addressSchema,
});

const platformSchema = z.strictObject({
  log: z.url({ protocol: /^https?$/ }),
  vmList: z.url({ protocol: /^https?$/ }),
});

const tlsSchema = z.strictObject({
  caller: z.strictObject({
    certificate: pathSchema,
    privateKey: pathSchema,
  }).optional(),
  peer: z.strictObject({
    authority: pathSchema,
    certificate: pathSchema,
    privateKey: pathSchema,
  }).optional(),
});

const limitsSchema = z.strictObject({
  callerConnections: countSchema.optional(),
  headersTimeout: durationSchema.optional(),
  requestTimeout: durationSchema.optional(),
  keepAliveTimeout: durationSchema.optional(),
  headers: sizeSchema.optional(),
  bodiesInMemory: sizeSchema.optional(),
  streamBodiesAbove: sizeSchema.optional(),
  keptAnswer: sizeSchema.optional(),
  linger: durationSchema.optional(),
  backendConnectTimeout: durationSchema.optional(),
  backendIdleTimeout: durationSchema.optional(),
  drainTimeout: durationSchema.default(DEFAULT_DRAIN_TIMEOUT_MS),
});

const telemetrySchema = z.strictObject({
  logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
  statsd: addressSchema.optional(),
  traces: z.url({ protocol: /^https?$/ }).optional(),
  traceShare: z.number().min(0).max(1).default(DEFAULT_TRACE_SHARE),
});

/** Schema of the whole file. Unknown keys are errors. */
export const settingsSchema = z.strictObject({
  vm: vmSchema,
  addresses: addressesSchema,
  platform: platformSchema,
  tls: tlsSchema.default({}),
  limits: limitsSchema.prefault({}),
  telemetry: telemetrySchema.prefault({}),
});

/** Content of a valid file: defaults filled in, quantities in base units. */
export type SettingsDocument = z.output<typeof settingsSchema>;
