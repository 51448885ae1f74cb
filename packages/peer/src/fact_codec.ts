/** Codec of the monotone facts that VMs gossip. */

import {
  type ConfigurationVersion,
  type KeyHash,
  type ServerId,
  type ShardId,
  toId,
  type VmId,
} from "@limpetford/domain/ids";
import type { MonotoneFact } from "@limpetford/domain/monotone_fact";
import type { VmIncarnation } from "@limpetford/domain/vm";

import { Fact, type Incarnation } from "./generated/membership.ts";

/**
 * Decodes the incarnation of a VM.
 *
 * @param message - incarnation message; undefined is treated as an empty one
 * @returns VM and start time; an empty name and 0 for missing fields
 */
export function decodeIncarnation(
  message: Incarnation | undefined,
): VmIncarnation {
  return {
    vm: toId<VmId>(message?.vm ?? ""),
    startedAtMs: message?.startedAtMs ?? 0,
  };
}

/**
 * Encodes a fact.
 *
 * @param fact - fact of any kind
 * @returns message with the one field of that kind set
 */
export function encodeFact(fact: MonotoneFact): Fact {
  switch (fact.kind) {
    case "key-withdrawn":
      return Fact.fromPartial({ keyWithdrawn: Buffer.from(fact.key, "hex") });
    case "server-leaving":
      return Fact.fromPartial({ serverLeaving: fact.server });
    case "vm-leaving":
      return Fact.fromPartial({ vmLeaving: fact.incarnation });
    case "configuration-version":
      return Fact.fromPartial({ configurationVersion: fact.version });
    case "vm-liveness": {
      const { incarnation, counter, isSuspected } = fact;
      return Fact.fromPartial({
        vmLiveness: { incarnation, counter, isSuspected },
      });
    }
    case "request-quarantined": {
      const { fingerprint, generation, isLifted } = fact;
      return Fact.fromPartial({
        requestQuarantined: { fingerprint, generation, isLifted },
      });
    }
    case "shard-ownership": {
      const { shard, epoch, holder, standby } = fact;
      return Fact.fromPartial({
        shardOwnership: { shard, epoch, holder, standby },
      });
    }
  }
}

/**
 * Decodes a fact.
 *
 * @param message - message with one field set
 * @returns the fact, or undefined for a kind that this version does not know
 */
export function decodeFact(message: Fact): MonotoneFact | undefined {
  if (message.keyWithdrawn !== undefined) {
    const key = Buffer.from(message.keyWithdrawn).toString("hex");
    return { kind: "key-withdrawn", key: toId<KeyHash>(key) };
  }
  if (message.serverLeaving !== undefined) {
    const server = toId<ServerId>(message.serverLeaving);
    return { kind: "server-leaving", server };
  }
  if (message.vmLeaving !== undefined) {
    const incarnation = decodeIncarnation(message.vmLeaving);
    return { kind: "vm-leaving", incarnation };
  }
  if (message.requestQuarantined !== undefined) {
    return { kind: "request-quarantined", ...message.requestQuarantined };
  }
  if (message.configurationVersion !== undefined) {
    const version = toId<ConfigurationVersion>(message.configurationVersion);
    return { kind: "configuration-version", version };
  }
  return decodeVmFact(message);
}

function decodeVmFact(message: Fact): MonotoneFact | undefined {
  if (message.shardOwnership !== undefined) {
    const { shard, epoch, holder, standby } = message.shardOwnership;
    return {
      kind: "shard-ownership",
      shard: toId<ShardId>(shard),
      epoch,
      holder: decodeIncarnation(holder),
      standby: standby === undefined ? undefined : decodeIncarnation(standby),
    };
  }
  if (message.vmLiveness !== undefined) {
    const { incarnation, counter, isSuspected } = message.vmLiveness;
    return {
      kind: "vm-liveness",
      incarnation: decodeIncarnation(incarnation),
      counter,
      isSuspected,
    };
  }
  return undefined;
}
