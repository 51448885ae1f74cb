/** Interface of service discovery: which VMs a caller should connect to. */

import type { ServiceId, TeamId } from "@limpetford/domain/ids";
import type { SocketAddress } from "@limpetford/domain/vm";

/** Addresses of VMs for a caller, in order of preference. */
export interface EntryList {
  readonly addresses: readonly SocketAddress[];
  /** How long the caller may keep the list, in milliseconds. */
  readonly validForMs: number;
}

/**
 * Selects the VMs that callers connect to.
 */
export abstract class EntrySelector {
  /**
   * Lists the VMs for a team's requests to a service.
   *
   * @param team - the team of the caller's key
   * @param service - the requested service
   * @returns addresses in order of preference, and how long they are valid
   */
  abstract listEntries(team: TeamId, service: ServiceId): EntryList;
}
