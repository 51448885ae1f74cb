/** Hands requests for servers that this VM cannot reach to VMs that can. */

import { chooseForwardTarget } from "@limpetford/core/reach/forward_target";
import type { Clock } from "@limpetford/core/time/clock";
import type { RandomSource } from "@limpetford/core/time/random_source";
import { type ServerId, type ServiceId, toId } from "@limpetford/domain/ids";
import { SERVER_STATE } from "@limpetford/domain/service";
import type { Vm } from "@limpetford/domain/vm";

import type {
  AttemptSample,
  Placement,
  PlacementRequest,
} from "../ports/server_router.ts";
import { readServiceId } from "./demand_builder.ts";
import type { FleetLog } from "./fleet_log.ts";
import type { FleetPeers } from "./fleet_peers.ts";
import type { FleetState } from "./fleet_state.ts";
import { describeEnd } from "./placement_log.ts";
import type { ServiceBalancers } from "./service_balancers.ts";
import type { ZoneTraffic } from "./zone_traffic.ts";

/** Time for which a VM's last message tells its configuration. */
const HEARD_VALID_MS = 1_000;

/** Dependencies of a {@link RequestForwarder}. */
export interface RequestForwarderOptions {
  readonly self: Vm;
  readonly state: FleetState;
  readonly peers: FleetPeers;
  readonly balancers: ServiceBalancers;
  readonly traffic: ZoneTraffic;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: FleetLog;
}

/** Chooses whether and to which VM a request is forwarded. */
export class RequestForwarder {
  readonly #options: RequestForwarderOptions;
  #forwardedCount = 0;

  /**
   * Creates a forwarder.
   *
   * @param options - what is known of this VM's links and of the other VMs
   */
  constructor(options: RequestForwarderOptions) {
    this.#options = options;
  }

  /**
   * Requests that were forwarded since the start.
   *
   * @returns number of attempts
   */
  get forwardedCount(): number {
    return this.#forwardedCount;
  }

  /**
   * Forwards a request if this VM cannot reach the servers of its service, and
   * another VM can.
   *
   * @param request - the attempt to place
   * @returns the VM in place of a server; undefined to use a server
   */
  forward(request: PlacementRequest): Placement | undefined {
    const { balancers } = this.#options;
    const service = readServiceId(request);
    const isLost = balancers.findService(service)?.reach.isUnreachable === true;
    if (!isLost || request.context.isPassedOn) {
      return undefined;
    }
    const target = this.#chooseTarget(service, request.tried);
    return target && this.#buildPlacement(request, service, target);
  }

  #chooseTarget(
    service: ServiceId,
    tried: readonly ServerId[],
  ): Vm | undefined {
    const { self, state, peers, clock, random } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const leaders = new Set(peers.listLeaders());
    const candidates = state.listVms().filter((vm) =>
      vm.incarnation.vm !== self.incarnation.vm &&
      !tried.includes(toId<ServerId>(vm.incarnation.vm)) &&
      peers.isAvailable(vm) && this.#hasConfiguration(vm)
    ).map((vm) => ({
      vm,
      zone: vm.zone,
      isLeader: leaders.has(vm),
      reach: peers.reach.findForService(vm.incarnation.vm, service, nowMs),
    }));
    return chooseForwardTarget(candidates, { zone: self.zone, random })?.vm;
  }

  // A VM with an older configuration would refuse the request. What one said a
  // while ago shows nothing.
  #hasConfiguration(vm: Vm): boolean {
    const { peers, state, clock } = this.#options;
    const { configurationVersion, heardAtMs } = peers.getPeer(vm);
    const own = state.active?.configuration.version ?? 0;
    return configurationVersion === undefined || configurationVersion >= own ||
      clock.readMonotonicMs() - heardAtMs > HEARD_VALID_MS;
  }

  #buildPlacement(
    request: PlacementRequest,
    service: ServiceId,
    vm: Vm,
  ): Placement {
    const { log } = this.#options;
    this.#forwardedCount += 1;
    log.record("request-forwarded", {
      request: request.context.id,
      service,
      to: vm.incarnation.vm,
    });
    return {
      isForwarded: true,
      server: {
        id: toId<ServerId>(vm.incarnation.vm),
        service,
        zone: vm.zone,
        address: vm.peerAddress,
        slots: Infinity,
        connections: Infinity,
        state: SERVER_STATE.active,
      },
      complete: (sample) => {
        this.#recordEnd(request, vm, sample);
      },
    };
  }

  #recordEnd(request: PlacementRequest, vm: Vm, sample: AttemptSample): void {
    const { log, traffic, peers } = this.#options;
    log.record(
      "attempt-ended",
      describeEnd(request, vm.incarnation.vm, sample),
    );
    traffic.recordAttempt(vm, sample);
    if (sample.outcome === "connect-failed") {
      peers.markSuspected(vm);
    }
  }
}
