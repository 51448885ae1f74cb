/** Codec of the rate-limit state handed over with a shard. */

import type {
  HandoverBucket,
  HandoverLimits,
} from "@limpetford/core/limits/limit_holder";
import { type TeamId, toId } from "@limpetford/domain/ids";

import {
  type HandoverBucket as BucketMessage,
  HandoverLimits as LimitsMessage,
} from "./generated/limits.ts";

/**
 * Encodes the rate-limit state of a shard.
 *
 * @param limits - token buckets of the shard, and how long it was held
 * @returns protobuf message
 */
export function encodeHandoverLimits(limits: HandoverLimits): Uint8Array {
  const message = LimitsMessage.fromPartial({
    heldForMs: limits.heldForMs,
    buckets: limits.buckets.map(encodeBucket),
  });
  return LimitsMessage.encode(message).finish();
}

/**
 * Decodes the rate-limit state of a shard.
 *
 * @param state - protobuf message
 * @returns token buckets of the shard, and how long it was held
 */
export function decodeHandoverLimits(state: Uint8Array): HandoverLimits {
  const message = LimitsMessage.decode(state);
  return {
    heldForMs: message.heldForMs,
    buckets: message.buckets.map(decodeBucket),
  };
}

function encodeBucket(bucket: HandoverBucket): BucketMessage {
  const { limits, grants, ...rest } = bucket;
  return { ...rest, ...limits, grants: [...grants] };
}

function decodeBucket(message: BucketMessage): HandoverBucket {
  const { team, ratePerSecond, burst, ...rest } = message;
  return {
    ...rest,
    team: toId<TeamId>(team),
    limits: { ratePerSecond, burst },
  };
}
