/** Builds and applies the messages by which VMs synchronize their state. */

import { compareLogPositions } from "@limpetford/core/fleet/log_position";
import type { ServerChange } from "@limpetford/core/fleet/server_changes";
import { EVIDENCE } from "@limpetford/core/placement/gray_failure_estimator";
import type { ServerEvidence } from "@limpetford/core/placement/server_evidence";
import type { Clock } from "@limpetford/core/time/clock";
import { BUILD } from "@limpetford/domain/build";
import { type ServerId, type TeamId, toId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";
import {
  CALL_COMPRESSION,
  type CallCompression,
} from "@limpetford/peer/fleet_calls";
import type {
  EvidenceRow,
  ServingReport,
  SyncMessage,
} from "@limpetford/peer/fleet_sync";
import { MESSAGE_CODEC_VERSION } from "@limpetford/peer/message_codec";

import type { FleetLog } from "./fleet_log.ts";
import type { FleetPeers, PeerState } from "./fleet_peers.ts";
import type { FleetReach } from "./fleet_reach.ts";
import type { FleetState } from "./fleet_state.ts";
import { PeerBuilds } from "./peer_builds.ts";
import type { ServerLimitTracker } from "./server_limit_tracker.ts";
import type { ServiceBalancers } from "./service_balancers.ts";
import type { SharedRateLimiter } from "./shared_rate_limiter.ts";
import type { SuspicionSync } from "./suspicion_sync.ts";

/** How long the offsets reported by another VM are considered current. */
const PEER_OFFSETS_VALID_MS = 2_000;

/** Components that messages are built from and applied to. */
export interface SyncMessagesOptions {
  readonly self: Vm;
  readonly state: FleetState;
  readonly peers: FleetPeers;
  readonly balancers: ServiceBalancers;
  readonly limiter: SharedRateLimiter;
  readonly suspicions: SuspicionSync;
  readonly serverLimits: ServerLimitTracker;
  readonly reach: Pick<FleetReach, "listRows" | "applyRows">;
  readonly clock: Clock;
  readonly log: FleetLog;
  /** Build of this VM; by default that of the program that runs. */
  readonly build?: string;
}

/** Builds and applies messages that carry the changes a receiver lacks. */
export class SyncMessages {
  readonly #options: SyncMessagesOptions;
  readonly #build: string;
  readonly #builds: PeerBuilds;

  /**
   * Creates a builder; of other VMs it keeps only the builds that it has seen.
   *
   * @param options - components that messages are built from and applied to
   */
  constructor(options: SyncMessagesOptions) {
    this.#options = options;
    this.#build = options.build ?? BUILD;
    this.#builds = new PeerBuilds(this.#build, options.log);
  }

  /**
   * Chooses which messages of a call are compressed. Within a zone, bytes cost less
   * than the time to compress them.
   *
   * @param vm - VM that is called
   * @returns what the other VM is able to read
   */
  chooseCompression(vm: Vm): CallCompression {
    const { peers, self } = this.#options;
    if (vm.zone === self.zone) {
      return CALL_COMPRESSION.none;
    }
    return peers.getPeer(vm).codec === MESSAGE_CODEC_VERSION
      ? CALL_COMPRESSION.both
      : CALL_COMPRESSION.reply;
  }

  /**
   * Applies a message of another VM.
   *
   * @param message - message from another VM, as decoded
   * @param sentAtMs - monotonic time of this VM before which the message cannot
   * have been built; ages in the message are counted from it
   */
  apply(message: SyncMessage, sentAtMs: number): void {
    const { state, peers, balancers, limiter, clock } = this.#options;
    // Claims count only for VMs that are known.
    message.vms?.forEach((vm) => state.applyVm(vm));
    peers.applyMessage(message);
    this.#builds.observe(message);
    this.#options.suspicions.applyUpdate(
      message.from,
      this.#findPeer(message),
      message.suspicions,
    );
    this.#options.reach.applyRows(message, sentAtMs);
    this.#options.serverLimits.applyRows(
      message.serverLimits ?? [],
      sentAtMs,
      message.from,
    );
    if (message.storeEra !== undefined) {
      state.observeStoreEra(message.storeEra);
      this.#applyConfiguration(message, sentAtMs);
      this.#applyServers(message, sentAtMs);
    } else {
      this.#recordOutdated(message);
    }
    const vm = message.from;
    const nowMs = clock.readMonotonicMs();
    limiter.applyConfirmation(vm, this.#readEcho(message));
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
    balancers.applyPeerReport(vm, {
      loads: new Map(message.report.loads),
      evidence: message.report.evidence.map(decodeEvidence),
    });
  }

  #recordOutdated(message: SyncMessage): void {
    const peer = this.#findPeer(message);
    if (peer !== undefined && !peer.isOutdated) {
      peer.isOutdated = true;
      this.#options.log.record("peer-outdated", { peer: message.from });
    }
  }

  #applyConfiguration(message: SyncMessage, sentAtMs: number): void {
    const { state, log } = this.#options;
    const { configuration, configurationAgeMs } = message;
    const { configurationVersion: version, configurationPosition: position } =
      message;
    if (position === undefined) {
      if (configurationAgeMs !== null && state.active === undefined) {
        // Neither VM has to read the store again to learn that there is none.
        state.recordConfigurationFreshness(sentAtMs - configurationAgeMs);
      }
      return;
    }
    if (
      configuration !== undefined &&
      state.applyConfiguration({ configuration, position })
    ) {
      log.record("configuration-in-force", {
        version,
        offset: position.offset,
        source: message.from,
      });
    }
    state.recordConfigurationPosition(version, position);
    if (
      configurationAgeMs !== null &&
      version === state.active?.configuration.version
    ) {
      state.recordConfigurationFreshness(sentAtMs - configurationAgeMs);
    }
  }

  // The sender's position and age hold for this VM once it has all changes, but
  // not before it has read for itself what a returned store has lost.
  #applyServers(message: SyncMessage, sentAtMs: number): void {
    const { state, clock } = this.#options;
    const { isComplete, revision, position, ageMs } = message.servers;
    const changes = this.#decideRemovals(message.servers.changes);
    const deferred = changes.filter(({ server, goneInMs }) =>
      goneInMs !== undefined && !state.servers.isRemovalPending(server.id)
    );
    if (state.servers.applyChanges(changes, clock.readMonotonicMs())) {
      state.notifyListeners();
    }
    this.#recordDeferred(deferred, message.from);
    const peer = this.#findPeer(message);
    if (peer === undefined) {
      return;
    }
    peer.serversSeen = message.servers.seenRevision;
    peer.serversRevision = Math.max(peer.serversRevision, revision);
    const own = state.servers.nextPosition;
    const isSameEra = own === undefined || own.era === position?.era;
    if (!isComplete || !isSameEra || position === undefined) {
      return;
    }
    const isBehind = own !== undefined &&
      compareLogPositions(position, own) < 0;
    state.servers.markRead(position);
    if (ageMs !== null && !isBehind) {
      state.recordServersFreshness(sentAtMs - ageMs);
    }
  }

  // A VM defers removals after an outage that only it may have seen.
  #decideRemovals(
    changes: readonly ServerChange[],
  ): readonly ServerChange[] {
    const maxDeferralMs = this.#options.state.computeMaxDeferralMs();
    return changes.map((change) => {
      const { server, position, goneInMs } = change;
      if (goneInMs === undefined) {
        return change;
      }
      return maxDeferralMs > 0
        ? { ...change, goneInMs: Math.min(goneInMs, maxDeferralMs) }
        : { server, position, isGone: true };
    });
  }

  #recordDeferred(deferred: readonly ServerChange[], source: string): void {
    const { state, log } = this.#options;
    for (const { server, goneInMs = 0 } of deferred) {
      if (state.servers.isRemovalPending(server.id)) {
        log.record("removal-deferred", {
          server: server.id,
          source,
          forMs: Math.round(goneInMs),
          listAgeMs: Math.round(state.serversAgeMs),
        });
      }
    }
  }

  #readEcho({ echo }: SyncMessage): number | undefined {
    const { startedAtMs } = this.#options.self.incarnation;
    return echo?.startedAtMs === startedAtMs ? echo.clockMs : undefined;
  }

  // Revisions count from the start of a process. A message for an earlier process
  // of this VM says nothing of what this one has.
  #findPeer(message: SyncMessage): PeerState | undefined {
    const { self, state, peers } = this.#options;
    const from = state.findVm(message.from);
    const peer = from === undefined ? undefined : peers.getPeer(from);
    const { startedAtMs } = self.incarnation;
    const isForThisProcess =
      (message.echo?.startedAtMs ?? startedAtMs) === startedAtMs;
    return isForThisProcess && peer?.startedAtMs === message.startedAtMs
      ? peer
      : undefined;
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
    const { self, state, peers, balancers, limiter, suspicions, clock } =
      this.#options;
    const { active, servers } = state;
    const nowMs = clock.readMonotonicMs();
    const reach = this.#options.reach.listRows();
    const version = active?.configuration.version ?? -1;
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
      build: this.#build,
      knowsReceiver: peer !== undefined,
      isLeaving: peers.isLeaving,
      leads: peers.listLeaders().flatMap((vm) => peers.readClaim(vm) ?? []),
      storeEra: state.storeEra,
      configurationVersion: version,
      ...active === undefined ? {} : { configurationPosition: active.position },
      configurationAgeMs: toMessageAge(state.configurationAgeMs),
      servers: {
        ...servers.listChangesSince(recentPeer?.serversSeen, nowMs),
        seenRevision: peer?.serversRevision ?? 0,
        ...servers.nextPosition === undefined
          ? {}
          : { position: servers.nextPosition },
        ageMs: toMessageAge(state.serversAgeMs),
      },
      vmCount: vms.length,
      vmListDigest: state.vmListDigest,
      codec: MESSAGE_CODEC_VERSION,
      suspicions: suspicions.buildUpdate(peer),
      serverLimits: this.#options.serverLimits.listRows(
        peer === undefined ? 0 : nowMs - peer.knownSinceMs,
      ),
      ...reach === undefined ? {} : { reach },
      ...recentPeer !== undefined && this.#isVmListOther(recentPeer)
        ? { vms }
        : {},
      ...active !== undefined && recentPeer !== undefined &&
          (recentPeer.configurationVersion ?? version) < version
        ? { configuration: active.configuration }
        : {},
      ...isLeader
        ? {
          report: {
            evidence,
            loads: balancers.listLoads(),
            demand: limiter.listDemand(peer?.vm, nowMs),
          },
        }
        : {},
    };
  }

  // VMs of an earlier version send the length of their list alone.
  #isVmListOther({ vmCount, vmListDigest }: PeerState): boolean {
    const { state } = this.#options;
    return vmListDigest === undefined
      ? vmCount !== state.listVms().length
      : vmListDigest !== state.vmListDigest;
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
