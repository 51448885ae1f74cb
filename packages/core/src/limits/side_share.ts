/** The part of a share of a team's limit that a leader leaves to silent VMs. */

/** The VMs for which a leader grants. */
export interface ZoneContacts {
  /** VMs of the leader's availability zone that may serve, itself included. */
  readonly zoneVms: number;
  /** Those of them that do not hear the leader and may grant for themselves. */
  readonly silentVms: number;
  /** VMs of the whole fleet, this one included. */
  readonly fleetVms: number;
}

/**
 * Computes how much of its share a leader may grant while VMs of its zone are
 * silent. Each of those may have an even part of the limit, as an isolated VM, or
 * may follow another leader beyond a cut, which then leaves out this side's VMs.
 *
 * @param share - the leader's share if it were heard by all VMs of its zone
 * @param contacts - which of them hear it
 * @returns share, from 0 to the given one
 */
export function computeSideShare(
  share: number,
  { zoneVms, silentVms, fleetVms }: ZoneContacts,
): number {
  const proportional = share * (1 - silentVms / zoneVms);
  const leftOver = share - silentVms / fleetVms;
  return Math.max(0, Math.min(proportional, leftOver));
}
