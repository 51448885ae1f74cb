/** Evidence and ejection state of the services whose shards this VM holds. */

import type { EjectionDecision } from "@limpetford/core/ejection/ejection_decision";
import {
  buildPortableHealth,
  type PortableServerHealth,
  restoreFromDecision,
  restoreHealth,
} from "@limpetford/core/ejection/handover_codec";
import type { EncodedServerHealth } from "@limpetford/core/ejection/server_health";
import { ServiceCoordinator } from "@limpetford/core/ejection/service_coordinator";
import type { OwnershipView } from "@limpetford/core/ownership/ownership_view";
import {
  type OwnershipOrigin,
  ShardComponent,
} from "@limpetford/core/ownership/shard_component";
import { findServiceShard } from "@limpetford/core/sharding/shard_hash";
import type { Clock } from "@limpetford/core/time/clock";
import type { ServerId, ServiceId, ShardId } from "@limpetford/domain/ids";
import type { BackendServer, Service } from "@limpetford/domain/service";

import type { ConfigurationSource } from "../../ports/configuration_source.ts";
import { listServiceServers } from "../routing/service_servers.ts";

const UTF8_ENCODER = new TextEncoder();
const UTF8_DECODER = new TextDecoder();

/** Dependencies of an {@link EvidenceHolder}. */
export interface EvidenceHolderOptions {
  readonly clock: Clock;
  readonly configuration: ConfigurationSource;
  readonly ownership: OwnershipView;
  /**
   * Reads the decision that this VM's router applies. It is the initial state
   * after a takeover, since the previous holder's evidence is lost.
   */
  readonly readAppliedDecision: (
    service: ServiceId,
  ) => EjectionDecision | undefined;
}

interface PortableService {
  readonly service: ServiceId;
  readonly servers: readonly PortableServerHealth[];
}

/**
 * Keeps a {@link ServiceCoordinator} for each service of the shards held here.
 */
export class EvidenceHolder extends ShardComponent {
  override readonly componentName = "evidence";
  readonly #options: EvidenceHolderOptions;
  readonly #held = new Map<ShardId, ReadonlyMap<ServiceId, PortableService>>();
  readonly #holders = new Map<ServiceId, ServiceCoordinator>();

  /**
   * Creates a holder without shards.
   *
   * @param options - clock, configuration, ownership and applied decisions
   */
  constructor(options: EvidenceHolderOptions) {
    super();
    this.#options = options;
  }

  override acquireShard(shard: ShardId, origin: OwnershipOrigin): void {
    const services = origin.kind === "handover"
      ? decodeServices(origin.state)
      : [];
    this.#held.set(
      shard,
      new Map(services.map((entry) => [entry.service, entry])),
    );
  }

  override prepareHandover(shard: ShardId): Uint8Array {
    const nowMs = this.#options.clock.readMonotonicMs();
    const services: PortableService[] = [];
    for (const [service, holder] of this.#holders) {
      if (findServiceShard(service) === shard) {
        const health = holder.ejections.encodeHealth();
        const servers = buildPortableHealth(health, nowMs);
        services.push({ service, servers });
      }
    }
    this.releaseShard(shard);
    return UTF8_ENCODER.encode(JSON.stringify(services));
  }

  override releaseShard(shard: ShardId): void {
    this.#held.delete(shard);
    for (const service of [...this.#holders.keys()]) {
      if (findServiceShard(service) === shard) {
        this.#holders.delete(service);
      }
    }
  }

  /**
   * Finds the state of a service; creates it on first use.
   *
   * @param service - service whose shard this VM may hold
   * @returns the state; undefined if this VM may not act for the service's
   *   shard now, or if the service is not configured
   */
  findHeld(service: ServiceId): ServiceCoordinator | undefined {
    const shard = findServiceShard(service);
    if (!this.#held.has(shard) || !this.#options.ownership.mayAct(shard)) {
      return undefined;
    }
    return this.#holders.get(service) ?? this.#create(service, shard);
  }

  /**
   * Lists the services with state whose shards this VM may act for now.
   *
   * @returns the state of each service
   */
  listHeld(): readonly ServiceCoordinator[] {
    return [...this.#holders.values()].filter((holder) =>
      this.#options.ownership.mayAct(findServiceShard(holder.service))
    );
  }

  /** Applies the configuration in force; drops services that it lacks. */
  updateConfiguration(): void {
    const { configuration } = this.#options;
    for (const [id, holder] of this.#holders) {
      const service = this.#findService(id);
      if (service === undefined) {
        this.#holders.delete(id);
      } else {
        const servers = listServiceServers(configuration, id);
        holder.ejections.setServers(service, servers);
      }
    }
  }

  #create(id: ServiceId, shard: ShardId): ServiceCoordinator | undefined {
    const service = this.#findService(id);
    if (service === undefined) {
      return undefined;
    }
    const { configuration, ownership } = this.#options;
    const holder = new ServiceCoordinator({
      service,
      epoch: ownership.findOwnership(shard)?.epoch ?? 0,
      handedOver: this.#restore(id, shard),
    });
    const servers: readonly BackendServer[] = listServiceServers(
      configuration,
      id,
    );
    holder.ejections.setServers(service, servers);
    this.#holders.set(id, holder);
    return holder;
  }

  #restore(
    service: ServiceId,
    shard: ShardId,
  ): ReadonlyMap<ServerId, EncodedServerHealth> {
    const nowMs = this.#options.clock.readMonotonicMs();
    const handedOver = this.#held.get(shard)?.get(service);
    if (handedOver !== undefined) {
      return restoreHealth(handedOver.servers, nowMs);
    }
    const applied = this.#options.readAppliedDecision(service);
    return applied === undefined
      ? new Map()
      : restoreFromDecision(applied, nowMs);
  }

  #findService(id: ServiceId): Service | undefined {
    return this.#options.configuration.readConfiguration()?.services
      .find((service) => service.id === id);
  }
}

function decodeServices(state: Uint8Array): readonly PortableService[] {
  if (state.length === 0) {
    return [];
  }
  return JSON.parse(UTF8_DECODER.decode(state)) as PortableService[];
}
