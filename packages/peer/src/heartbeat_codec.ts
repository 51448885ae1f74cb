/** Codec of the heartbeats between VMs. */

import type { HeartbeatMessage } from "@limpetford/core/membership/heartbeat_protocol";
import { type RegionId, toId, type ZoneId } from "@limpetford/domain/ids";
import type { MonotoneFact } from "@limpetford/domain/monotone_fact";
import type { SocketAddress, Vm, VmIncarnation } from "@limpetford/domain/vm";

import { decodeFact, decodeIncarnation, encodeFact } from "./fact_codec.ts";
import {
  type Address,
  HeartbeatReply,
  HeartbeatRequest,
  type VmRecord,
} from "./generated/membership.ts";

/** Maximum of the 32-bit age field, in milliseconds; represents infinity. */
const MAX_AGE_MS = 0xffff_ffff;

/**
 * Encodes a heartbeat as a request.
 *
 * @param message - heartbeat of this VM
 * @returns request to the other VM
 */
export function encodeHeartbeat(message: HeartbeatMessage): HeartbeatRequest {
  return HeartbeatRequest.fromPartial({
    sender: message.sender,
    ...encodeBody(message),
  });
}

/**
 * Decodes a heartbeat from a request.
 *
 * @param request - request of another VM
 * @returns heartbeat of that VM
 */
export function decodeHeartbeat(request: HeartbeatRequest): HeartbeatMessage {
  return decodeBody(request, decodeIncarnation(request.sender));
}

/**
 * Encodes a heartbeat as a reply.
 *
 * @param message - heartbeat of this VM
 * @returns reply to the other VM's request
 */
export function encodeHeartbeatReply(
  message: HeartbeatMessage,
): HeartbeatReply {
  return HeartbeatReply.fromPartial({
    replier: message.sender,
    ...encodeBody(message),
  });
}

/**
 * Decodes a heartbeat from a reply.
 *
 * @param reply - reply of another VM
 * @returns heartbeat of that VM
 */
export function decodeHeartbeatReply(reply: HeartbeatReply): HeartbeatMessage {
  return decodeBody(reply, decodeIncarnation(reply.replier));
}

type HeartbeatBody = Omit<HeartbeatReply, "replier">;

function encodeBody(message: HeartbeatMessage): HeartbeatBody {
  return {
    record: message.record === undefined ? undefined : encodeVm(message.record),
    logAgeMs: Math.min(MAX_AGE_MS, Math.ceil(message.logAgeMs)),
    digestSum: message.facts.sum,
    facts: message.facts.facts.map(encodeFact),
    bucketHashes: [...message.facts.bucketHashes],
  };
}

function decodeBody(
  body: HeartbeatBody,
  sender: VmIncarnation,
): HeartbeatMessage {
  return {
    sender,
    record: body.record === undefined
      ? undefined
      : decodeVm(body.record, sender),
    logAgeMs: body.logAgeMs === MAX_AGE_MS ? Infinity : body.logAgeMs,
    facts: {
      sum: body.digestSum,
      facts: body.facts
        .map(decodeFact)
        .filter((fact): fact is MonotoneFact => fact !== undefined),
      bucketHashes: body.bucketHashes,
    },
  };
}

function encodeVm(vm: Vm): VmRecord {
  return {
    zone: vm.zone,
    region: vm.region,
    callerAddress: vm.callerAddress,
    peerAddress: vm.peerAddress,
    weight: vm.weight,
  };
}

function decodeVm(record: VmRecord, incarnation: VmIncarnation): Vm {
  return {
    incarnation,
    zone: toId<ZoneId>(record.zone),
    region: toId<RegionId>(record.region),
    callerAddress: decodeAddress(record.callerAddress),
    peerAddress: decodeAddress(record.peerAddress),
    weight: record.weight,
  };
}

function decodeAddress(address: Address | undefined): SocketAddress {
  return { host: address?.host ?? "", port: address?.port ?? 0 };
}
