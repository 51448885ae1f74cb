/** Carries one router's messages on suspect requests to the holder. */

import type { CrashReport } from "@limpetford/core/quarantine/suspect_arbiter";
import {
  type PermitReply,
  RouterOutbox,
} from "@limpetford/core/routing/router_outbox";
import type { ServiceId } from "@limpetford/domain/ids";

import type { EvidenceAgent } from "./evidence_agent.ts";
import type { EvidenceLink } from "./evidence_link.ts";

/** What an outbox works with. */
export interface EvidenceOutboxOptions {
  readonly service: ServiceId;
  readonly link: EvidenceLink;
  readonly agent: EvidenceAgent;
}

/**
 * Speaks to the holder of a service's shard, here or at another VM.
 */
export class EvidenceOutbox extends RouterOutbox {
  readonly #options: EvidenceOutboxOptions;

  /**
   * Connects a router with the holder.
   *
   * @param options - the service and the ways to its holder
   */
  constructor(options: EvidenceOutboxOptions) {
    super();
    this.#options = options;
  }

  override sendCrash(notice: CrashReport): void {
    const { service, link } = this.#options;
    const place = link.findHolder(service);
    if (place.kind === "here") {
      this.#options.agent.receiveCrash(service, notice);
    } else if (place.kind === "there") {
      void link.sendCrash(place.vm, { service, ...notice });
    }
  }

  override fetchPermit(
    fingerprint: string,
    deliver: (reply: PermitReply) => void,
  ): void {
    const { service, link } = this.#options;
    const place = link.findHolder(service);
    switch (place.kind) {
      case "here":
        deliver(this.#options.agent.acquirePermit(service, fingerprint));
        return;
      case "there":
        void link.fetchPermit(place.vm, { service, fingerprint }).then(deliver);
        return;
      case "unknown":
        deliver("no-holder");
        return;
    }
  }

  override releasePermit(fingerprint: string, hasServed: boolean): void {
    const { service, link } = this.#options;
    const place = link.findHolder(service);
    if (place.kind === "here") {
      const end = { fingerprint, hasServed };
      this.#options.agent.receiveRelease(service, end);
    } else if (place.kind === "there") {
      const request = { service, fingerprint, hasServed };
      void link.sendRelease(place.vm, request);
    }
  }
}
