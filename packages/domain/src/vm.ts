/** Proxy VMs, their incarnations and socket addresses. */

import type { RegionId, VmId, ZoneId } from "./ids.ts";

/** One run of the limpetford process on a VM. */
export interface VmIncarnation {
  readonly vm: VmId;
  /** Wall-clock time of the start of the process, in milliseconds. */
  readonly startedAtMs: number;
}

/** An IP address and port. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** A proxy VM as registered in the fleet. */
export interface Vm {
  readonly incarnation: VmIncarnation;
  readonly zone: ZoneId;
  readonly region: RegionId;
  /** Listen address for callers. */
  readonly callerAddress: SocketAddress;
  /** Listen address for peer VMs. */
  readonly peerAddress: SocketAddress;
  /** Listen address for operators; undefined if there is none. */
  readonly operatorAddress?: SocketAddress | undefined;
  /** Relative share of shards and callers; 1 is the default share. */
  readonly weight: number;
}

/**
 * Checks whether two incarnations denote the same run of a process.
 *
 * @param a - first incarnation
 * @param b - second incarnation
 * @returns true if VM name and start time are equal
 */
export function isSameIncarnation(
  a: VmIncarnation,
  b: VmIncarnation,
): boolean {
  return a.vm === b.vm && a.startedAtMs === b.startedAtMs;
}

/**
 * Formats an incarnation for logs and map keys.
 *
 * @param incarnation - VM name and start time
 * @returns `vm@startedAtMs`
 */
export function formatIncarnation(incarnation: VmIncarnation): string {
  return `${incarnation.vm}@${incarnation.startedAtMs}`;
}

/**
 * Parses the output of {@link formatIncarnation}, without validation.
 *
 * @param text - `vm@startedAtMs`
 * @returns VM name and start time; the time is NaN if it is not a number
 */
export function parseIncarnation(text: string): VmIncarnation {
  const at = text.lastIndexOf("@");
  return {
    vm: text.slice(0, at) as VmId,
    startedAtMs: Number(text.slice(at + 1)),
  };
}

/**
 * Formats a socket address. IPv6 addresses are not bracketed.
 *
 * @param address - host and port
 * @returns `host:port`
 */
export function formatAddress(address: SocketAddress): string {
  return `${address.host}:${address.port}`;
}
