/** Services and their backend servers. */

import type { ServerId, ServiceId, ZoneId } from "./ids.ts";
import type { SocketAddress } from "./vm.ts";

/** Administrative states of a backend server, as set by operators. */
export const SERVER_STATE = {
  active: "active",
  leaving: "leaving",
} as const;
/** Administrative state of a backend server. */
export type ServerState = typeof SERVER_STATE[keyof typeof SERVER_STATE];

/** A configured backend server of a service and its capacity. */
export interface BackendServer {
  readonly id: ServerId;
  readonly service: ServiceId;
  readonly zone: ZoneId;
  readonly address: SocketAddress;
  /** Requests that the server executes concurrently, over the whole fleet. */
  readonly slots: number;
  /** Maximum connections to the server, over the whole fleet. */
  readonly connections: number;
  readonly state: ServerState;
}

/** A group of interchangeable backend servers and its ejection limits. */
export interface Service {
  readonly id: ServiceId;
  /** Minimum share of the slots that ejection must leave, from 0 to 1. */
  readonly floor: number;
  /** Tolerated rate of false ejections per backend server and day. */
  readonly falseEjectionsPerServerDay: number;
  /** URL path of the health check endpoint; its result is only a hint. */
  readonly healthPath: string;
}
