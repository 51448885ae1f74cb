/** Self-registration records that backend servers send to the fleet. */

import type { ServerId, ServiceId, ZoneId } from "./ids.ts";
import type { ServerState } from "./service.ts";
import type { SocketAddress } from "./vm.ts";

/** State that one backend server reports about itself. */
export interface AnnouncedServer {
  /**
   * Usually changes with each start. A server rejects requests addressed to
   * another id.
   */
  readonly id: ServerId;
  readonly service: ServiceId;
  readonly zone: ZoneId;
  readonly address: SocketAddress;
  /** Requests that the server executes concurrently, over the whole fleet. */
  readonly slots: number;
  readonly state: ServerState;
  /** Remaining warm-up time, in milliseconds; responses are slow until then. */
  readonly warmUpLeftMs: number;
  /** Wall-clock start time of the server, in ms; 0 if not reported. */
  readonly startedAtMs: number;
  /** Sequence number of the announcement, counted since the start. */
  readonly sequence: number;
}
