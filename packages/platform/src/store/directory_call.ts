/** The calls by which callers find VMs and the platform checks them. */

import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";

import { VM_CALL } from "./wire_names.ts";

const MS_PER_S = 1_000;
const MAX_ADDRESSES = 64;

/** What a caller asks the directory. */
export interface DirectoryQuestion {
  readonly host: string;
  readonly region: string;
  readonly zone: string;
}

/** Addresses for a caller. */
export interface DirectoryAnswer {
  readonly addresses: readonly SocketAddress[];
  /** How long the caller may keep them, in milliseconds. */
  readonly validForMs: number;
}

/**
 * Reads a call to the directory.
 *
 * @param target - path and query of the call
 * @returns the question, or undefined if it is another call
 */
export function parseDirectoryQuery(
  target: string,
): DirectoryQuestion | undefined {
  const url = new URL(target, "http://directory.invalid");
  if (url.pathname !== VM_CALL.directory) {
    return undefined;
  }
  return {
    host: url.searchParams.get("name") ?? "",
    region: url.searchParams.get("region") ?? "",
    zone: url.searchParams.get("zone") ?? "",
  };
}

/**
 * Renders the directory's answer.
 *
 * @param answer - the addresses
 * @returns a JSON text
 */
export function renderDirectoryResponse(answer: DirectoryAnswer): string {
  return JSON.stringify({
    addresses: answer.addresses.slice(0, MAX_ADDRESSES).map(formatAddress),
    ttl_s: answer.validForMs / MS_PER_S,
  });
}

/**
 * Checks whether a call asks if the VM is ready.
 *
 * @param target - path and query of the call
 * @returns true if it does
 */
export function isReadinessRequest(target: string): boolean {
  return target.split("?")[0] === VM_CALL.readiness;
}
