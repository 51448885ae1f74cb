/** Shares with the other VMs which requests may crash servers. */

import { RevisionLog } from "@limpetford/core/fleet/revision_log";
import {
  countCrashes,
  type Suspicion,
  SUSPICION_STATUS,
} from "@limpetford/core/quarantine/suspicion";
import type { SuspicionRegistry } from "@limpetford/core/quarantine/suspicion_registry";
import type { Clock } from "@limpetford/core/time/clock";
import { type ServerId, toId } from "@limpetford/domain/ids";
import type {
  CrashRow,
  EvidenceNotice,
  SuspicionRow,
  SuspicionUpdate,
} from "@limpetford/peer/fleet_sync";

import type { FleetLog } from "./fleet_log.ts";
import type { PeerState } from "./fleet_peers.ts";

/** Suspicions in one message, about 30 KB at most. */
const MAX_ROWS = 200;

/** Dependencies of a {@link SuspicionSync}. */
export interface SuspicionSyncOptions {
  readonly registry: SuspicionRegistry;
  readonly clock: Clock;
  readonly log: FleetLog;
  /** Called once, when this VM knows what the store keeps. */
  readonly handleInformed?: () => void;
  /** Called with each crash that another VM has noticed, and its time. */
  readonly handlePeerCrash?: (server: ServerId, atMs: number) => void;
}

/** News that are sent at once instead of with the next exchange. */
export type SuspicionNotice = Pick<EvidenceNotice, "suspicions" | "crashes">;

/**
 * Numbers the changes of this VM's suspicions, so that each other VM gets those
 * that it lacks, and collects those that this VM observed itself, which are sent
 * at once.
 */
export class SuspicionSync {
  readonly #options: SuspicionSyncOptions;
  readonly #revisions = new RevisionLog();
  /** Where the change that is being applied was learned from. */
  #source: string | undefined;
  #unsentSuspicions = new Map<string, Suspicion>();
  #unsentCrashes: CrashRow[] = [];
  #isInformed = false;

  /**
   * Follows the changes of a registry.
   *
   * @param options - registry, clock and log
   */
  constructor(options: SuspicionSyncOptions) {
    this.#options = options;
    options.registry.subscribe((suspicion) => {
      this.#recordChange(suspicion);
    });
  }

  /**
   * Whether this VM knows which requests the store keeps.
   *
   * @returns false after the start, until it was read here or at another VM
   */
  get isInformed(): boolean {
    return this.#isInformed;
  }

  /**
   * Records that this VM knows which requests the store keeps.
   *
   * @param source - `store`, or the other VM that has told them
   */
  markInformed(source: string): void {
    if (this.#isInformed) {
      return;
    }
    this.#isInformed = true;
    const { registry, log, handleInformed } = this.#options;
    log.record("suspicions-known", { source, count: registry.list().length });
    handleInformed?.();
  }

  /**
   * Queues the crash of a server that this VM has noticed.
   *
   * @param server - identifier of the server
   */
  recordCrash(server: string): void {
    this.#unsentCrashes.push([server, 0]);
  }

  /**
   * Takes what this VM observed since the last call.
   *
   * @returns the news; undefined if there are none
   */
  takeNotice(): SuspicionNotice | undefined {
    if (this.#unsentSuspicions.size === 0 && this.#unsentCrashes.length === 0) {
      return undefined;
    }
    const notice = {
      suspicions: [...this.#unsentSuspicions.values()].map((suspicion) =>
        this.#buildRow(suspicion)
      ),
      crashes: this.#unsentCrashes,
    };
    this.#unsentSuspicions = new Map();
    this.#unsentCrashes = [];
    return notice;
  }

  /**
   * Applies the news of another VM.
   *
   * @param from - the other VM
   * @param notice - its news
   */
  applyNotice(from: string, notice: SuspicionNotice): void {
    const { registry, clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    for (const [server, ageMs] of notice.crashes ?? []) {
      registry.recordServerCrash(server, nowMs - ageMs);
      this.#options.handlePeerCrash?.(
        toId<ServerId>(server),
        nowMs - ageMs,
      );
    }
    this.#applyRows(from, notice.suspicions ?? []);
  }

  /**
   * Builds the update for another VM.
   *
   * @param peer - the receiver; undefined before its first message
   * @returns the suspicions that it lacks, oldest change first
   */
  buildUpdate(peer: PeerState | undefined): SuspicionUpdate {
    const seenRevision = peer?.suspicionsRevision ?? 0;
    const known = peer?.suspicionsSeen;
    if (known === undefined) {
      return { rows: [], revision: 0, seenRevision };
    }
    const { keys, revision } = this.#revisions.listSince(known, MAX_ROWS);
    return {
      rows: this.#listRows(keys),
      revision,
      seenRevision,
      isComplete: this.#isInformed && revision === this.#revisions.revision,
    };
  }

  /**
   * Applies the update of another VM.
   *
   * @param from - the other VM
   * @param peer - its state; undefined if its record is not known yet
   * @param update - its update; undefined if it runs an earlier version
   */
  applyUpdate(
    from: string,
    peer: PeerState | undefined,
    update: SuspicionUpdate | undefined,
  ): void {
    if (peer === undefined || update === undefined) {
      return;
    }
    peer.suspicionsSeen = update.seenRevision;
    peer.suspicionsRevision = Math.max(
      peer.suspicionsRevision,
      update.revision,
    );
    this.#applyRows(from, update.rows);
    if (update.isComplete === true) {
      this.markInformed(from);
    }
  }

  /**
   * Applies a suspicion that was kept in the store.
   *
   * @param suspicion - suspicion as read
   */
  applyStored(suspicion: Suspicion): void {
    this.#merge("store", suspicion);
  }

  /** Drops the revisions of suspicions that the registry no longer has. */
  dropExpired(): void {
    this.#revisions.dropExcept((fingerprint) =>
      this.#options.registry.find(fingerprint) !== undefined
    );
  }

  #applyRows(from: string, rows: readonly SuspicionRow[]): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    for (const row of rows) {
      this.#merge(from, {
        ...row,
        runs: row.runs.map(({ ageMs, ...run }) => ({
          ...run,
          crashedAtMs: nowMs - ageMs,
        })),
      });
    }
  }

  #merge(source: string, suspicion: Suspicion): void {
    const { registry, clock } = this.#options;
    this.#source = source;
    registry.apply(suspicion, clock.readMonotonicMs());
    this.#source = undefined;
  }

  #recordChange(suspicion: Suspicion): void {
    const { fingerprint, status } = suspicion;
    this.#revisions.record(fingerprint);
    if (this.#source === undefined) {
      this.#unsentSuspicions.set(fingerprint, suspicion);
    }
    if (status === SUSPICION_STATUS.quarantined) {
      this.#recordQuarantined(suspicion);
    }
  }

  #recordQuarantined({ fingerprint, runs }: Suspicion): void {
    this.#options.log.record("request-quarantined", {
      fingerprint,
      crashes: countCrashes(runs),
      servers: runs.map(({ server }) => server).join(" "),
      source: this.#source ?? "observed",
    });
  }

  #listRows(fingerprints: readonly string[]): readonly SuspicionRow[] {
    return fingerprints.flatMap((fingerprint) => {
      const suspicion = this.#options.registry.find(fingerprint);
      return suspicion === undefined ? [] : [this.#buildRow(suspicion)];
    });
  }

  #buildRow({ runs, ...row }: Suspicion): SuspicionRow {
    const nowMs = this.#options.clock.readMonotonicMs();
    return {
      ...row,
      runs: runs.map(({ crashedAtMs, ...run }) => ({
        ...run,
        ageMs: Math.round(nowMs - crashedAtMs),
      })),
    };
  }
}
