/** The two sample deployments of the demo. */

/** A sample deployment, scaled to a single machine. */
export interface DemoProfile {
  readonly name: string;
  /** File name in `sheets/`. */
  readonly sheetFile: string;
  readonly region: string;
  readonly zones: readonly string[];
  /** Third octet of the entry VMs' IP addresses. */
  readonly vmSubnetOctet: number;
  /** Last octet of the platform's IP address. */
  readonly platformHostOctet: number;
  readonly vmCount: number;
  /** Service that handles bookings. */
  readonly service: string;
  readonly readPath: string;
  readonly bookingPath: string;
  readonly bookingBody: string;
  /** A team with a high rate limit. */
  readonly largeTeam: string;
  /** A team with a low rate limit. */
  readonly smallTeam: string;
  /** A team whose callers far exceed its rate limit. */
  readonly floodingTeam: string;
}

/** Ferreyra: a gateway for bookings of bands. */
export const FERREYRA: DemoProfile = {
  name: "ferreyra",
  sheetFile: "ferreyra.csv",
  region: "amba",
  zones: ["amba-a", "amba-b", "amba-c"],
  vmSubnetOctet: 1,
  platformHostOctet: 1,
  vmCount: 6,
  service: "booking",
  readPath: "/availability?date=2027-03-06",
  bookingPath: "/confirmations",
  bookingBody: '{"band":"Los Faroles","date":"2027-03-06","deposit":250}',
  largeTeam: "costa",
  smallTeam: "sur",
  floodingTeam: "palermo",
};

/** Brazos: a gateway for the dispatch of boats. */
export const BRAZOS: DemoProfile = {
  name: "brazos",
  sheetFile: "brazos.csv",
  region: "gulf-south",
  zones: ["gulf-a", "gulf-b", "gulf-c"],
  vmSubnetOctet: 2,
  platformHostOctet: 2,
  vmCount: 6,
  service: "dispatch",
  readPath: "/board?pen=17",
  bookingPath: "/bookings",
  bookingBody: '{"boat":"Wellboat 3","tank":2,"slot":"2027-03-06T06:00"}',
  largeTeam: "matagorda",
  smallTeam: "sabine",
  floodingTeam: "trinity",
};

/** All sample deployments, in the order in which they start. */
export const DEMO_PROFILES: readonly DemoProfile[] = [FERREYRA, BRAZOS];

/**
 * Builds the caller key of a team. The sample sheet holds its hash.
 *
 * @param team - team id in the sample sheet
 * @returns the key, to be sent as a bearer token
 */
export function buildDemoKey(team: string): string {
  return `demo-key-${team}`;
}
