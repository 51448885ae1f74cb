/** Codec of the records through which VMs discover each other on the store. */

import {
  type RegionId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";
import { formatAddress, type Vm } from "@limpetford/domain/vm";
import * as z from "zod";

import { parseAddress } from "./address_parser.ts";

const recordSchema = z.object({
  zone: z.string(),
  region: z.string(),
  caller: z.string(),
  peer: z.string(),
  startedAtMs: z.number(),
  cores: z.number().positive().default(1),
});

/**
 * Encodes the record of a VM.
 *
 * @param vm - identity, addresses and weight of the VM
 * @returns the value of the record; its key is the VM's identifier
 */
export function encodeVmRecord(vm: Vm): Buffer {
  return Buffer.from(JSON.stringify({
    zone: vm.zone,
    region: vm.region,
    caller: formatAddress(vm.callerAddress),
    peer: formatAddress(vm.peerAddress),
    startedAtMs: vm.incarnation.startedAtMs,
    cores: vm.weight,
  }));
}

/**
 * Decodes the record of a VM.
 *
 * @param key - key of the record, which is the VM's identifier
 * @param value - JSON document, the value of the record
 * @returns the VM, or undefined if the record is not a valid VM record
 */
export function decodeVmRecord(key: string, value: Buffer): Vm | undefined {
  let document: unknown;
  try {
    document = JSON.parse(value.toString("utf8"));
  } catch {
    return undefined;
  }
  const parsed = recordSchema.safeParse(document);
  if (!parsed.success) {
    return undefined;
  }
  const { zone, region, caller, peer, startedAtMs, cores } = parsed.data;
  const callerAddress = parseAddress(caller);
  const peerAddress = parseAddress(peer);
  if (callerAddress === undefined || peerAddress === undefined) {
    return undefined;
  }
  return {
    incarnation: { vm: toId<VmId>(key), startedAtMs },
    zone: toId<ZoneId>(zone),
    region: toId<RegionId>(region),
    callerAddress,
    peerAddress,
    weight: cores,
  };
}
