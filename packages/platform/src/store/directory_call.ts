/** Requests for service discovery and for readiness checks at a VM. */

import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";

import { VM_PATH } from "./wire_names.ts";

const MS_PER_S = 1_000;
const MAX_ADDRESSES = 64;

/** A caller's query for the VMs that it may connect to. */
export interface DirectoryQuery {
  /** Host name that the caller wants to reach; empty if not sent. */
  readonly host: string;
  /** The caller's region; empty if not sent. */
  readonly region: string;
  /** The caller's availability zone; empty if not sent. */
  readonly zone: string;
}

/** Addresses of the VMs that a caller may connect to. */
export interface DirectoryResponse {
  readonly addresses: readonly SocketAddress[];
  /** How long the caller may cache them, in milliseconds. */
  readonly validForMs: number;
}

/**
 * Parses a request to the directory.
 *
 * @param target - path and query string of the request
 * @returns the query, or undefined if the path is not the directory's
 */
export function parseDirectoryQuery(
  target: string,
): DirectoryQuery | undefined {
  const queryStart = target.indexOf("?");
  const path = queryStart < 0 ? target : target.slice(0, queryStart);
  if (path !== VM_PATH.directory) {
    return undefined;
  }
  const query = new URLSearchParams(
    queryStart < 0 ? "" : target.slice(queryStart),
  );
  return {
    host: query.get("name") ?? "",
    region: query.get("region") ?? "",
    zone: query.get("zone") ?? "",
  };
}

/**
 * Renders the directory's response.
 *
 * @param response - addresses, of which the first 64 are sent, and their lifetime
 * @returns JSON document
 */
export function renderDirectoryResponse(response: DirectoryResponse): string {
  return JSON.stringify({
    addresses: response.addresses.slice(0, MAX_ADDRESSES).map(formatAddress),
    ttl_s: response.validForMs / MS_PER_S,
  });
}

/**
 * Checks whether a request is a readiness check of the VM.
 *
 * @param target - path and query string of the request
 * @returns true if its path is the readiness path
 */
export function isReadinessRequest(target: string): boolean {
  return target.split("?")[0] === VM_PATH.readiness;
}
