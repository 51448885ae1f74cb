/** Builds and applies the messages between VMs. */

import { EVIDENCE } from "@limpetford/core/placement/gray_failure_estimator";
import type { ServerEvidence } from "@limpetford/core/placement/service_placement";
import type { Clock } from "@limpetford/core/time/clock";
import { type ServerId, type TeamId, toId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";
import type {
  EvidenceRow,
  ServingReport,
  SyncMessage,
} from "@limpetford/peer/fleet_sync";

import type { FleetLog } from "./fleet_log.ts";
import type { FleetPeers, PeerKnowledge } from "./fleet_peers.ts";
import type { FleetState } from "./fleet_state.ts";
import type { PlacementRouter } from "./placement_router.ts";
import type { SharedRateLimiter } from "./shared_rate_limiter.ts";

/** How long another VM's word on what it knows is built upon. */
const POSITION_VALID_MS = 2_000;

/** What messages are built from and applied to. */
export interface SyncMessagesOptions {
  readonly self: Vm;
  readonly state: FleetState;
  readonly peers: FleetPeers;
  readonly router: PlacementRouter;
  readonly limiter: SharedRateLimiter;
  readonly clock: Clock;
  readonly log: FleetLog;
}

/** Tells the receiver what it does not know yet. */
export class SyncMessages {
  readonly #options: SyncMessagesOptions;

  /**
   * Prepares to build and apply.
   *
   * @param options - what messages are built from and applied to
   */
  constructor(options: SyncMessagesOptions) {
    this.#options = options;
  }

  /**
   * Takes in another VM's message.
   *
   * @param message - the message
   * @param sentAtMs - monotonic time before which it was not built
   */
  apply(message: SyncMessage, sentAtMs: number): void {
    const { state, peers, router, limiter, log, clock } = this.#options;
    peers.applyMessage(message);
    message.vms?.forEach((vm) => state.applyVm(vm));
    if (message.configuration !== undefined) {
      const isNew = state.applyConfiguration({
        configuration: message.configuration,
        offset: message.configurationOffset,
      });
      if (isNew) {
        log.record("configuration-in-force", {
          version: message.configuration.version,
          offset: message.configurationOffset,
          source: message.from,
        });
      }
    }
    if (
      message.configurationAgeMs !== null &&
      message.configurationOffset === state.placed?.offset
    ) {
      state.recordConfigurationProof(sentAtMs - message.configurationAgeMs);
    }
    this.#applyServers(message, sentAtMs);
    const vm = message.from;
    const nowMs = clock.readMonotonicMs();
    if (message.report === undefined) {
      limiter.applyPeer(vm, undefined, nowMs);
      return;
    }
    limiter.applyPeer(
      vm,
      new Map(
        message.report.demand.map(([team, rate]) =>
          [toId<TeamId>(team), rate] as const
        ),
      ),
      nowMs,
    );
    router.applyPeerReport(vm, {
      loads: new Map(message.report.loads),
      evidence: message.report.evidence.map(decodeEvidence),
    });
  }

  #applyServers(message: SyncMessage, sentAtMs: number): void {
    const { state, clock } = this.#options;
    const { serverChanges, serversOffset, serversAgeMs } = message;
    if (serverChanges !== undefined) {
      if (
        state.servers.applyChanges(serverChanges, {
          nextOffset: serversOffset,
          nowMs: clock.readMonotonicMs(),
        })
      ) {
        state.notifyListeners();
      }
    }
    if (
      serversAgeMs !== null && state.servers.nextOffset >= serversOffset &&
      serversOffset > 0
    ) {
      state.recordServersProof(sentAtMs - serversAgeMs);
    }
  }

  /**
   * Builds a message.
   *
   * @param peer - what is known of the receiver; undefined before any contact
   * @param evidence - evidence that it has not been sent
   * @returns the message
   */
  build(
    peer: PeerKnowledge | undefined,
    evidence: ServingReport["evidence"],
  ): SyncMessage {
    const { self, state, peers, router, limiter, clock } = this.#options;
    const { placed, servers } = state;
    const nowMs = clock.readMonotonicMs();
    const offset = placed?.offset ?? -1;
    const isLead = peers.ownLeadSinceMs !== undefined;
    const vms = state.listVms();
    // What the receiver lacks is sent once it has said what it has, since most
    // of it would be known to it already.
    const lacking = peer !== undefined &&
        nowMs - peer.heardAtMs < POSITION_VALID_MS
      ? peer
      : undefined;
    return {
      from: self.incarnation.vm,
      startedAtMs: self.incarnation.startedAtMs,
      clockMs: nowMs,
      ...peer?.clockMs === undefined
        ? {}
        : { echo: { startedAtMs: peer.startedAtMs, clockMs: peer.clockMs } },
      ...peer?.hasOwnRecord === true ? {} : { record: self },
      knowsReceiver: peer !== undefined,
      isLeaving: peers.isLeaving,
      leads: peers.listLeads().flatMap((vm) => peers.readClaim(vm) ?? []),
      configurationOffset: offset,
      configurationAgeMs: turnAge(state.configurationAgeMs),
      serversOffset: servers.nextOffset,
      serversAgeMs: turnAge(state.serversAgeMs),
      vmCount: vms.length,
      ...lacking !== undefined && lacking.vmCount !== vms.length ? { vms } : {},
      ...placed !== undefined && lacking !== undefined &&
          lacking.configurationOffset < offset
        ? { configuration: placed.configuration }
        : {},
      ...lacking !== undefined && lacking.serversOffset < servers.nextOffset
        ? {
          serverChanges: servers.listChangesSince(lacking.serversOffset, nowMs),
        }
        : {},
      ...isLead
        ? {
          report: {
            evidence,
            loads: router.listLoads(),
            demand: limiter.listDemand(),
          },
        }
        : {},
    };
  }
}

/**
 * Decodes a row of evidence.
 *
 * @param row - the row
 * @returns the evidence
 */
export function decodeEvidence(
  [server, evidence, isLinkFailure]: EvidenceRow,
): ServerEvidence {
  return {
    server: toId<ServerId>(server),
    evidence: evidence === EVIDENCE.failure
      ? EVIDENCE.failure
      : EVIDENCE.success,
    isLinkFailure,
  };
}

function turnAge(ageMs: number): number | null {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : null;
}
