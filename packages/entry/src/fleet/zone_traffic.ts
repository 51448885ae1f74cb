/** Counts what this VM moves between availability zones, by purpose. */

import type { AttemptSample } from "@limpetford/core/evidence/attempt_sample";
import type { ZoneId } from "@limpetford/domain/ids";
import {
  formatAddress,
  type SocketAddress,
  type Vm,
} from "@limpetford/domain/vm";
import { CallTraffic } from "@limpetford/peer/call_traffic";

import type { ServingMetrics } from "../telemetry/serving_metrics.ts";
import type { FleetState } from "./fleet_state.ts";

const METRIC = "bytes_between_zones";
/** Size of the heads of a request and its response, as estimated. */
const HEAD_BYTES = 700;

/** Dependencies of {@link ZoneTraffic}. */
export interface ZoneTrafficOptions {
  readonly self: Vm;
  readonly state: FleetState;
  readonly metrics: ServingMetrics;
}

/**
 * Counts the bytes of this VM's calls and requests to other zones. What other
 * VMs send on their own is counted there.
 */
export class ZoneTraffic extends CallTraffic {
  readonly #options: ZoneTrafficOptions;

  /**
   * Starts to count.
   *
   * @param options - this VM, the other VMs and the metrics
   */
  constructor(options: ZoneTrafficOptions) {
    super();
    this.#options = options;
  }

  override recordCall(
    to: SocketAddress,
    purpose: string,
    bytes: number,
  ): void {
    const { self, state, metrics } = this.#options;
    const address = formatAddress(to);
    const vm = state.listVms().find(({ peerAddress }) =>
      formatAddress(peerAddress) === address
    );
    if (vm?.zone !== self.zone) {
      metrics.count(METRIC, purpose, bytes);
    }
  }

  /**
   * Records an attempt at a backend server.
   *
   * @param server - the server
   * @param sample - size of the response
   */
  recordAttempt(
    server: { readonly zone: ZoneId },
    sample: AttemptSample,
  ): void {
    const { self, metrics } = this.#options;
    if (server.zone !== self.zone) {
      metrics.count(METRIC, "requests", HEAD_BYTES + sample.answerBytes);
    }
  }
}
