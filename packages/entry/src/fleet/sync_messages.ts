/** Builds and applies the messages by which VMs synchronize their state. */

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
import type { FleetPeers, PeerState } from "./fleet_peers.ts";
import type { FleetState } from "./fleet_state.ts";
import type { PlacementRouter } from "./placement_router.ts";
import type { SharedRateLimiter } from "./shared_rate_limiter.ts";
import type { SuspicionSync } from "./suspicion_sync.ts";

/** How long the offsets reported by another VM are considered current. */
const PEER_OFFSETS_VALID_MS = 2_000;

/** Components that messages are built from and applied to. */
export interface SyncMessagesOptions {
  readonly self: Vm;
  readonly state: FleetState;
  readonly peers: FleetPeers;
  readonly router: PlacementRouter;
  readonly limiter: SharedRateLimiter;
  readonly suspicions: SuspicionSync;
  readonly clock: Clock;
  readonly log: FleetLog;
}

/** Builds and applies messages that carry the changes a receiver lacks. */
export class SyncMessages {
  readonly #options: SyncMessagesOptions;

  /**
   * Creates a builder; it keeps no state of its own.
   *
   * @param options - components that messages are built from and applied to
   */
  constructor(options: SyncMessagesOptions) {
    this.#options = options;
  }

  /**
   * Applies a message of another VM.
   *
   * @param message - message from another VM, as decoded
   * @param sentAtMs - monotonic time of this VM before which the message cannot
   * have been built; ages in the message are counted from it
   */
  apply(message: SyncMessage, sentAtMs: number): void {
    const { state, peers, router, limiter, log, clock } = this.#options;
    peers.applyMessage(message);
    this.#applySuspicions(message);
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
      message.configurationOffset === state.active?.offset
    ) {
      state.recordConfigurationFreshness(sentAtMs - message.configurationAgeMs);
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

  // Revisions count from the start of the sender's process.
  #applySuspicions(message: SyncMessage): void {
    const { state, peers, suspicions } = this.#options;
    const from = state.findVm(message.from);
    const peer = from === undefined ? undefined : peers.getPeer(from);
    if (peer?.startedAtMs === message.startedAtMs) {
      suspicions.applyUpdate(message.from, peer, message.suspicions);
    }
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
      state.recordServersFreshness(sentAtMs - serversAgeMs);
    }
  }

  /**
   * Builds a message for another VM.
   *
   * @param peer - state of the receiver; undefined before its first message
   * @param evidence - evidence that the receiver has not been sent yet
   * @returns the message; with changes only if the receiver's offsets are known
   */
  build(
    peer: PeerState | undefined,
    evidence: ServingReport["evidence"],
  ): SyncMessage {
    const { self, state, peers, router, limiter, suspicions, clock } =
      this.#options;
    const { active, servers } = state;
    const nowMs = clock.readMonotonicMs();
    const offset = active?.offset ?? -1;
    const isLeader = peers.ownLeaderSinceMs !== undefined;
    const vms = state.listVms();
    // Changes are sent only to a receiver that recently reported its offsets.
    // Any other receiver would get mostly data that it already has.
    const recentPeer = peer !== undefined &&
        nowMs - peer.heardAtMs < PEER_OFFSETS_VALID_MS
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
      leads: peers.listLeaders().flatMap((vm) => peers.readClaim(vm) ?? []),
      configurationOffset: offset,
      configurationAgeMs: toMessageAge(state.configurationAgeMs),
      serversOffset: servers.nextOffset,
      serversAgeMs: toMessageAge(state.serversAgeMs),
      vmCount: vms.length,
      suspicions: suspicions.buildUpdate(peer),
      ...recentPeer !== undefined && recentPeer.vmCount !== vms.length
        ? { vms }
        : {},
      ...active !== undefined && recentPeer !== undefined &&
          recentPeer.configurationOffset < offset
        ? { configuration: active.configuration }
        : {},
      ...recentPeer !== undefined &&
          recentPeer.serversOffset < servers.nextOffset
        ? {
          serverChanges: servers.listChangesSince(
            recentPeer.serversOffset,
            nowMs,
          ),
        }
        : {},
      ...isLeader
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
 * Decodes a row of evidence from a message.
 *
 * @param row - server, outcome and whether the link may be at fault
 * @returns the evidence; an unknown outcome counts as a success
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

function toMessageAge(ageMs: number): number | null {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : null;
}
