/** Documents as operators and backend servers publish them, for simulations. */

/**
 * Builds a configuration without routes, with one key that is its own.
 *
 * @param version - version of the configuration
 * @returns document as the store keeps it
 */
export function buildConfigurationDocument(version: number): unknown {
  return {
    version,
    routes: {},
    services: {},
    limits: {
      maximum_header_bytes: 1,
      maximum_body_bytes: 1,
      header_timeout_s: 1,
      idle_timeout_s: 1,
    },
    tenants: { team: { api_keys: [`key-${version}`] } },
  };
}

/**
 * Builds the announcement of a backend server that has started once.
 *
 * @param sequence - number of the announcement
 * @param isLeaving - true if the server drains
 * @returns document as the store keeps it
 */
export function buildAnnouncementDocument(
  sequence: number,
  isLeaving: boolean,
): unknown {
  return {
    service: "s",
    address: "10.0.0.1:80",
    zone: "z",
    version: "v1",
    slots: 3,
    state: isLeaving ? "draining" : "ready",
    warmup_remaining_s: 0,
    sequence_number: sequence,
    born: 1,
  };
}
