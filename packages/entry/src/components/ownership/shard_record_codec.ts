/** Encodes and validates the JSON records of a shard's log stream. */

import type {
  ClaimItem,
  ClaimRecord,
} from "@limpetford/core/claims/claim_record";
import type { OwnershipRecord } from "@limpetford/core/ownership/ownership_record";
import type { TeamId, VmId } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import { z } from "zod";

/** A record of a shard's log stream: an ownership change or claims. */
export type ShardRecord = OwnershipRecord | ClaimRecord;

const INCARNATION = z.object({
  vm: z.string().transform((value) => toId<VmId>(value)),
  startedAtMs: z.number(),
});

const OWNERSHIP = z.object({
  kind: z.literal("ownership"),
  change: z.enum(["claim", "takeover", "replace-standby", "checkpoint"]),
  id: z.string(),
  proposer: INCARNATION,
  basedOn: z.number().int().nonnegative(),
  epoch: z.number().int().positive(),
  holder: INCARNATION,
  standby: INCARNATION.optional(),
  unknownUntilMs: z.number(),
}).transform((value): OwnershipRecord => ({
  ...value,
  standby: value.standby,
}));

const STORED_RESPONSE = z.object({
  status: z.number().int(),
  headers: z.array(z.tuple([z.string(), z.string()])),
  body: z.string(),
});

const OUTCOME = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("answered"), answer: STORED_RESPONSE }),
  z.object({ kind: z.literal("answered-not-kept") }),
  z.object({ kind: z.literal("not-run") }),
  z.object({ kind: z.literal("unknown") }),
]);

const CLAIM_KEY_FIELDS = {
  claimId: z.string(),
  team: z.string().transform((value) => toId<TeamId>(value)),
  idempotencyKey: z.string(),
};

const CLAIM_ITEM = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("claimed"),
    ...CLAIM_KEY_FIELDS,
    fingerprint: z.string(),
    claimedAtMs: z.number(),
    supersedes: z.string().optional(),
  }),
  z.object({
    kind: z.literal("settled"),
    ...CLAIM_KEY_FIELDS,
    outcome: OUTCOME,
  }),
]).transform((value): ClaimItem =>
  value.kind === "settled" ? value : { ...value, supersedes: value.supersedes }
);

const CLAIMS = z.object({
  kind: z.literal("claims"),
  proposer: INCARNATION,
  items: z.array(CLAIM_ITEM),
});

const SHARD_RECORD = z.union([OWNERSHIP, CLAIMS]);

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/**
 * Encodes a record for a shard's log stream.
 *
 * @param record - ownership change or claims
 * @returns UTF-8 JSON
 */
export function encodeShardRecord(record: ShardRecord): Uint8Array {
  return encoder.encode(JSON.stringify(record));
}

/**
 * Decodes a record of a shard's log stream.
 *
 * @param payload - UTF-8 JSON
 * @returns the record, or undefined if the payload is not a valid record
 */
export function decodeShardRecord(
  payload: Uint8Array,
): ShardRecord | undefined {
  return decodeJson(payload, SHARD_RECORD);
}

/**
 * Encodes a claim item for replication to another VM.
 *
 * @param item - a claim or its outcome
 * @returns UTF-8 JSON
 */
export function encodeClaimItem(item: ClaimItem): Uint8Array {
  return encoder.encode(JSON.stringify(item));
}

/**
 * Decodes a claim item replicated by another VM.
 *
 * @param payload - UTF-8 JSON
 * @returns the item, or undefined if the payload is not a valid item
 */
export function decodeClaimItem(payload: Uint8Array): ClaimItem | undefined {
  return decodeJson(payload, CLAIM_ITEM);
}

function decodeJson<T>(
  payload: Uint8Array,
  schema: z.ZodType<T>,
): T | undefined {
  try {
    const parsed = schema.safeParse(JSON.parse(decoder.decode(payload)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
