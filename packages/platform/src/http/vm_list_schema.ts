/** JSON schema of the VM list and its entries. */

import type { RegionId, VmId, ZoneId } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import * as z from "zod";

import type { VmListEntry } from "../vm_list.ts";
import { VM_LIST_STATE } from "../vm_list.ts";

const MAX_PORT = 65_535;

const addressSchema = z.object({
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(1).max(MAX_PORT),
}).readonly();

/** Validates one entry of the list. */
export const vmListEntrySchema: z.ZodType<VmListEntry> = z.object({
  vm: z.object({
    incarnation: z.object({
      vm: z.string().min(1).transform((name) => toId<VmId>(name)),
      startedAtMs: z.number().nonnegative(),
    }).readonly(),
    zone: z.string().min(1).transform((name) => toId<ZoneId>(name)),
    region: z.string().min(1).transform((name) => toId<RegionId>(name)),
    callerAddress: addressSchema,
    peerAddress: addressSchema,
    operatorAddress: addressSchema.optional(),
    weight: z.number().positive(),
  }).readonly(),
  state: z.enum([VM_LIST_STATE.live, VM_LIST_STATE.leaving]),
}).readonly();

/** Validates the whole list. */
export const vmListSchema: z.ZodType<readonly VmListEntry[]> = z
  .array(vmListEntrySchema)
  .readonly();
