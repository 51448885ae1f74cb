/** RPCs from a VM to the holder of a service's shard, and back to the VMs. */

import type { EjectionDecision } from "@limpetford/core/ejection/ejection_decision";
import type { OwnershipView } from "@limpetford/core/ownership/ownership_view";
import type { PermitReply } from "@limpetford/core/routing/router_outbox";
import { findServiceShard } from "@limpetford/core/sharding/shard_hash";
import type { ServiceId } from "@limpetford/domain/ids";
import { isSameIncarnation, type Vm } from "@limpetford/domain/vm";
import { encodeDecision } from "@limpetford/peer/evidence_codec";
import {
  type CrashRequest,
  EvidenceClient,
  type PermitReleaseRequest,
  type PermitRequest,
  type ReportReply,
  type ReportRequest,
  type SuspicionRequest,
} from "@limpetford/peer/generated/evidence";
import type { CallOptions, PeerChannels } from "@limpetford/peer/peer_channels";

const REPORT_TIMEOUT_MS = 1_000;
const PUSH_TIMEOUT_MS = 1_000;
const PERMIT_TIMEOUT_MS = 300;

/** Location of the holder of a service's shard. */
export type HolderLocation =
  | { readonly kind: "here" }
  | { readonly kind: "there"; readonly vm: Vm }
  | { readonly kind: "unknown" };

/** Dependencies of an {@link EvidenceRpcClient}. */
export interface EvidenceRpcClientOptions {
  readonly self: Vm;
  readonly channels: PeerChannels;
  readonly ownership: OwnershipView;
}

/**
 * Makes the calls of the evidence protocol. A failed call never throws.
 */
export class EvidenceRpcClient {
  readonly #options: EvidenceRpcClientOptions;
  readonly #report;
  readonly #crash;
  readonly #permit;
  readonly #releasePermit;
  readonly #status;
  readonly #decide;
  readonly #suspect;

  /**
   * Binds the calls to the channels.
   *
   * @param options - this VM, its channels and the shard ownership
   */
  constructor(options: EvidenceRpcClientOptions) {
    this.#options = options;
    const { channels } = options;
    this.#report = channels.bind(EvidenceClient, (c) => c.report.bind(c));
    this.#crash = channels.bind(EvidenceClient, (c) => c.crash.bind(c));
    this.#permit = channels.bind(EvidenceClient, (c) => c.permit.bind(c));
    this.#releasePermit = channels.bind(
      EvidenceClient,
      (c) => c.releasePermit.bind(c),
    );
    this.#status = channels.bind(EvidenceClient, (c) => c.status.bind(c));
    this.#decide = channels.bind(EvidenceClient, (c) => c.decide.bind(c));
    this.#suspect = channels.bind(EvidenceClient, (c) => c.suspect.bind(c));
  }

  /**
   * Finds the holder of a service's shard.
   *
   * @param service - service whose holder is looked up
   * @returns this VM (`here`), another VM (`there`) or `unknown`, by the newest
   *   ownership record known here
   */
  findHolder(service: ServiceId): HolderLocation {
    const shard = findServiceShard(service);
    const holder = this.#options.ownership.findOwnership(shard)?.holder;
    if (holder === undefined) {
      return { kind: "unknown" };
    }
    const { self } = this.#options;
    return isSameIncarnation(holder.incarnation, self.incarnation)
      ? { kind: "here" }
      : { kind: "there", vm: holder };
  }

  /**
   * Sends an evidence report.
   *
   * @param to - holder of the service's shard
   * @param request - outcomes of attempts and of health probes
   * @returns the reply; undefined if the call failed
   */
  async sendReport(
    to: Vm,
    request: ReportRequest,
  ): Promise<ReportReply | undefined> {
    const reply = await this.#report(request, toCall(to, REPORT_TIMEOUT_MS));
    return reply.ok ? reply.value : undefined;
  }

  /**
   * Reports a server crash.
   *
   * @param to - holder of the service's shard
   * @param request - the crashed server and the request that was in flight
   */
  async sendCrash(to: Vm, request: CrashRequest): Promise<void> {
    await this.#crash(request, toCall(to, REPORT_TIMEOUT_MS));
  }

  /**
   * Requests a permit to run a request that is suspected of crashing servers.
   *
   * @param to - holder of the service's shard
   * @param request - the service and the suspect's fingerprint
   * @returns the holder's verdict; `no-holder` if the call failed
   */
  async fetchPermit(to: Vm, request: PermitRequest): Promise<PermitReply> {
    const reply = await this.#permit(request, toCall(to, PERMIT_TIMEOUT_MS));
    return reply.ok ? toPermitReply(reply.value.verdict) : "no-holder";
  }

  /**
   * Releases the permit of a run that has ended without a crash.
   *
   * @param to - holder of the service's shard
   * @param request - the suspect, and whether the server responded to it
   */
  async sendRelease(to: Vm, request: PermitReleaseRequest): Promise<void> {
    await this.#releasePermit(request, toCall(to, REPORT_TIMEOUT_MS));
  }

  /**
   * Fetches the ejection status of a service from its holder.
   *
   * @param to - holder of the service's shard
   * @param service - service to describe
   * @returns the status as JSON text; undefined if the call failed
   */
  async fetchStatus(to: Vm, service: ServiceId): Promise<string | undefined> {
    const reply = await this.#status(
      { service },
      toCall(to, REPORT_TIMEOUT_MS),
    );
    return reply.ok ? reply.value.json : undefined;
  }

  /**
   * Pushes an ejection decision.
   *
   * @param to - a VM that uses the service
   * @param decision - the holder's newest decision on the service
   */
  async sendDecision(to: Vm, decision: EjectionDecision): Promise<void> {
    await this.#decide(
      encodeDecision(decision),
      toCall(to, PUSH_TIMEOUT_MS),
    );
  }

  /**
   * Pushes the start or the end of a suspicion.
   *
   * @param to - a VM that uses the service
   * @param request - the fingerprint, and whether it is suspected
   */
  async sendSuspicion(to: Vm, request: SuspicionRequest): Promise<void> {
    await this.#suspect(request, toCall(to, PUSH_TIMEOUT_MS));
  }
}

function toCall(to: Vm, timeoutMs: number): CallOptions {
  return { to: to.peerAddress, timeoutMs };
}

function toPermitReply(text: string): PermitReply {
  switch (text) {
    case "granted":
    case "cleared":
    case "busy":
    case "quarantined":
      return text;
    default:
      return "no-holder";
  }
}
