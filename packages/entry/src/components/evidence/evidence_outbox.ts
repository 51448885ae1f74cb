/** Sends a router's messages about suspect requests to the shard's holder. */

import type { CrashReport } from "@limpetford/core/quarantine/suspect_arbiter";
import {
  type PermitReply,
  RouterOutbox,
} from "@limpetford/core/routing/router_outbox";
import type { ServiceId } from "@limpetford/domain/ids";

import type { EvidenceCoordinator } from "./evidence_coordinator.ts";
import type { EvidenceRpcClient } from "./evidence_rpc_client.ts";

/** Dependencies of an {@link EvidenceOutbox}. */
export interface EvidenceOutboxOptions {
  readonly service: ServiceId;
  readonly client: EvidenceRpcClient;
  readonly coordinator: EvidenceCoordinator;
}

/**
 * Delivers messages to the holder of a service's shard: by a local call if it is
 * this VM, else by RPC. Drops notifications while the holder is unknown.
 */
export class EvidenceOutbox extends RouterOutbox {
  readonly #options: EvidenceOutboxOptions;

  /**
   * Creates the outbox of one service's router.
   *
   * @param options - the service, the RPC client and the local coordinator
   */
  constructor(options: EvidenceOutboxOptions) {
    super();
    this.#options = options;
  }

  override sendCrash(report: CrashReport): void {
    const { service, client } = this.#options;
    const location = client.findHolder(service);
    if (location.kind === "here") {
      this.#options.coordinator.receiveCrash(service, report);
    } else if (location.kind === "there") {
      void client.sendCrash(location.vm, { service, ...report });
    }
  }

  override fetchPermit(
    fingerprint: string,
    deliver: (reply: PermitReply) => void,
  ): void {
    const { service, client } = this.#options;
    const location = client.findHolder(service);
    switch (location.kind) {
      case "here":
        deliver(this.#options.coordinator.acquirePermit(service, fingerprint));
        return;
      case "there":
        void client.fetchPermit(location.vm, { service, fingerprint }).then(
          deliver,
        );
        return;
      case "unknown":
        deliver("no-holder");
        return;
    }
  }

  override releasePermit(fingerprint: string, hasServed: boolean): void {
    const { service, client } = this.#options;
    const location = client.findHolder(service);
    if (location.kind === "here") {
      const result = { fingerprint, hasServed };
      this.#options.coordinator.receiveRelease(service, result);
    } else if (location.kind === "there") {
      const request = { service, fingerprint, hasServed };
      void client.sendRelease(location.vm, request);
    }
  }
}
