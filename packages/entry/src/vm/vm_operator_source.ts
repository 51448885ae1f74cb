/** Status documents and commands of one VM for its operators. */

import type { FactBus } from "@limpetford/core/gossip/fact_bus";
import { BUILD } from "@limpetford/domain/build";
import { type KeyHash, type ServiceId, toId } from "@limpetford/domain/ids";
import { formatIncarnation } from "@limpetford/domain/vm";

import type { CallerServer } from "../http/caller_server.ts";
import { OperatorSource } from "../http/operator_source.ts";
import type { RequestExplanation } from "../serving/request_explanations.ts";
import type { ServingPorts } from "../serving/serving_ports.ts";
import type { VmSettings } from "./vm_settings.ts";

/** Components of a VM that the operators' documents are read from. */
export interface VmOperatorParts {
  readonly settings: VmSettings;
  readonly ports: ServingPorts;
  readonly callerServer: CallerServer;
  readonly facts: FactBus;
}

/**
 * Builds the operators' documents from the state of a VM's components. The
 * property names of a document are part of its format.
 */
export class VmOperatorSource extends OperatorSource {
  readonly #parts: VmOperatorParts;

  /**
   * Creates a source for one VM.
   *
   * @param parts - components to read from
   */
  constructor(parts: VmOperatorParts) {
    super();
    this.#parts = parts;
  }

  override describeStatus(): unknown {
    const { settings, ports, callerServer } = this.#parts;
    const { configuration } = ports;
    return {
      vm: settings.self.incarnation.vm,
      build: BUILD,
      incarnation: formatIncarnation(settings.self.incarnation),
      zone: settings.self.zone,
      region: settings.self.region,
      isReady: configuration.isInForce() && !callerServer.isStopping,
      isStopping: callerServer.isStopping,
      configurationVersion: configuration.readConfiguration()?.version,
      requestsInFlight: callerServer.inFlight,
      backendConnections: callerServer.backendConnectionCount,
    };
  }

  override describeService(name: string): unknown {
    const { configuration, router } = this.#parts.ports;
    const inForce = configuration.readConfiguration();
    const service = inForce?.services.find((one) => one.id === name);
    if (inForce === undefined || service === undefined) {
      return undefined;
    }
    const servers = inForce.servers.filter((server) => server.service === name);
    return {
      service: name,
      floor: service.floor,
      servers: servers.map((server) => ({
        id: server.id,
        zone: server.zone,
        slots: server.slots,
        isLeaving: configuration.isServerLeaving(server.id),
      })),
      routing: router.describeService(toId<ServiceId>(name)),
    };
  }

  override explain(id: string): RequestExplanation | undefined {
    return this.#parts.callerServer.explain(id);
  }

  override withdrawKeys(keys: readonly KeyHash[]): void {
    for (const key of keys) {
      this.#parts.facts.publish({ kind: "key-withdrawn", key });
    }
  }

  override listQuarantined(): readonly string[] {
    return this.#parts.ports.router.listQuarantined();
  }

  override withdrawQuarantine(fingerprint: string): boolean {
    return this.#parts.ports.router.withdrawQuarantine(fingerprint);
  }
}
