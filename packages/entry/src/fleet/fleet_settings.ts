/** Settings file of a VM in the fleet. */

import { readFile } from "node:fs/promises";

import type { RetryLimits } from "@limpetford/core/placement/retry_token_bucket";
import {
  type RegionId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";
import { makeError, makeOk, type Result } from "@limpetford/domain/result";
import {
  formatAddress,
  type SocketAddress,
  type Vm,
} from "@limpetford/domain/vm";
import * as z from "zod";

import type { SettingsError } from "../settings/settings_error.ts";
import { parseWithSchema } from "../settings/settings_parser.ts";
import { addressSchema } from "../settings/units.ts";

const MS_PER_S = 1_000;
const DEFAULT_MINIMUM_SHARE = 0.7;
const DEFAULT_RETRY_WINDOW_MS = 10_000;
const secondsSchema = z.number().nonnegative().transform((seconds) =>
  seconds * MS_PER_S
);

const fleetSettingsSchema = z.object({
  vm: z.strictObject({
    id: z.string().min(1),
    zone: z.string().min(1),
    region: z.string().min(1),
    cores: z.number().positive().default(1),
  }),
  addresses: z.strictObject({
    caller: addressSchema,
    ready: addressSchema,
    directory: addressSchema,
    peer: addressSchema,
    metrics: addressSchema.optional(),
  }),
  store: addressSchema,
  seeds: z.array(addressSchema).default([]),
  isFirstStart: z.boolean().default(false),
  bounds: z.strictObject({
    gracePeriodSeconds: secondsSchema,
    revocationSeconds: secondsSchema,
    configurationSeconds: secondsSchema,
    drainSeconds: secondsSchema,
    retryBudgetRatio: z.number().nonnegative(),
    retryBudgetSlack: z.number().nonnegative(),
    retryBudgetWindowSeconds: secondsSchema.default(DEFAULT_RETRY_WINDOW_MS),
    quotaTolerance: z.number().nonnegative().default(0),
    minimumShare: z.number().min(0).max(1).default(DEFAULT_MINIMUM_SHARE),
  }),
  logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
});

/** Validated settings, with durations in milliseconds. */
export interface FleetSettings {
  /** This VM's own record. */
  readonly self: Vm;
  /** Serves readiness checks. */
  readonly readyAddress: SocketAddress;
  /** Serves service discovery to callers. */
  readonly directoryAddress: SocketAddress;
  /** Serves metrics; undefined to serve none. */
  readonly metricsAddress: SocketAddress | undefined;
  readonly storeAddress: SocketAddress;
  /** Peer addresses to call while no other VM is known. */
  readonly seeds: readonly SocketAddress[];
  /** True only when the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  /** Time from the request to stop until the process must have ended. */
  readonly gracePeriodMs: number;
  /** Time within which a revoked key stops working everywhere. */
  readonly revocationMs: number;
  /** Time within which a published configuration is active everywhere. */
  readonly configurationMs: number;
  /** Time within which a leaving server stops receiving new requests. */
  readonly drainMs: number;
  /** Limits of the extra attempts for each service. */
  readonly retryBounds: RetryLimits;
  /** Requests that a team may make above its limit in any window. */
  readonly quotaTolerance: number;
  /** Least share of a service's sound servers that get requests, 0 to 1. */
  readonly minimumShare: number;
  readonly logLevel: "error" | "warn" | "info" | "debug";
}

/**
 * Loads and validates the settings file.
 *
 * @param file - path of a YAML file
 * @param startedAtMs - wall-clock time of the start of the process
 * @returns the settings, or all errors with their lines
 */
export async function loadFleetSettings(
  file: string,
  startedAtMs: number,
): Promise<Result<FleetSettings, readonly SettingsError[]>> {
  let text: string;
  try {
    text = await readFile(file, "utf8");
  } catch (error) {
    const { code, message } = error as NodeJS.ErrnoException;
    return makeError([{ kind: "unreadable", file, cause: code ?? message }]);
  }
  const parsed = parseWithSchema(text, fleetSettingsSchema);
  if (!parsed.ok) {
    return parsed;
  }
  const { vm, addresses, bounds, store, ...rest } = parsed.value;
  return makeOk({
    self: {
      incarnation: { vm: toId<VmId>(vm.id), startedAtMs },
      zone: toId<ZoneId>(vm.zone),
      region: toId<RegionId>(vm.region),
      callerAddress: addresses.caller,
      peerAddress: addresses.peer,
      weight: vm.cores,
    },
    readyAddress: addresses.ready,
    directoryAddress: addresses.directory,
    metricsAddress: addresses.metrics,
    storeAddress: store,
    seeds: rest.seeds,
    isFirstStart: rest.isFirstStart,
    gracePeriodMs: bounds.gracePeriodSeconds,
    revocationMs: bounds.revocationSeconds,
    configurationMs: bounds.configurationSeconds,
    drainMs: bounds.drainSeconds,
    retryBounds: {
      ratio: bounds.retryBudgetRatio,
      slack: bounds.retryBudgetSlack,
      windowMs: bounds.retryBudgetWindowSeconds,
    },
    quotaTolerance: bounds.quotaTolerance,
    minimumShare: bounds.minimumShare,
    logLevel: rest.logLevel,
  });
}

/**
 * Lists the VMs that this VM asks first for the others.
 *
 * @param settings - settings of this VM
 * @returns addresses for calls of other VMs, without this VM's own
 */
export function listOtherSeeds(
  { seeds, self }: Pick<FleetSettings, "seeds" | "self">,
): readonly SocketAddress[] {
  const own = formatAddress(self.peerAddress);
  return seeds.filter((seed) => formatAddress(seed) !== own);
}
