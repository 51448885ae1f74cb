/** Ledger of requests that run at most once, stored at their shard's holder. */

import type {
  ClaimItem,
  ClaimOutcome,
} from "@limpetford/core/claims/claim_record";
import { computeKeyWindowMs } from "@limpetford/core/claims/idempotency_key";
import type { FleetView } from "@limpetford/core/membership/fleet_view";
import {
  isHolder,
  listPossibleSuccessors,
} from "@limpetford/core/ownership/shard_replica";
import { findTeamShard } from "@limpetford/core/sharding/shard_hash";
import type { Clock } from "@limpetford/core/time/clock";
import { scheduleRepeatedly, type Timers } from "@limpetford/core/time/timers";
import type { ShardId, TeamId } from "@limpetford/domain/ids";
import { formatIncarnation, type SocketAddress } from "@limpetford/domain/vm";
import type { OwnershipCalls } from "@limpetford/peer/ownership_handlers";

import {
  type Claim,
  type ClaimRequest,
  type ClaimSettlement,
  type ClaimVerdict,
  IdempotencyLedger,
} from "../../ports/idempotency_ledger.ts";
import type { VmComponent } from "../../ports/vm_component.ts";
import type { OwnedShard } from "../ownership/owned_shard.ts";
import type { OwnershipComponent } from "../ownership/ownership_component.ts";
import { ClaimFlush } from "./claim_flush.ts";
import { ClaimReplication } from "./claim_replication.ts";
import { convertOutcome, convertSettlement } from "./claim_settlement.ts";

/** Time after which callers should retry a refused or running request. */
const REFUSAL_RETRY_MS = 1_000;
/** Interval at which idempotency keys past their retention are removed. */
const EXPIRE_INTERVAL_MS = 60_000;

/** Dependencies of a {@link ClaimLedger}. */
export interface ClaimLedgerOptions {
  readonly clock: Clock;
  readonly timers: Timers;
  readonly fleet: FleetView;
  readonly ownership: OwnershipComponent;
  readonly calls: OwnershipCalls;
}

/** Claim of a request that has not ended yet. */
interface RunningClaim {
  readonly item: Extract<ClaimItem, { kind: "claimed" }>;
  readonly shard: OwnedShard;
  readonly ended: Promise<void>;
  readonly notifyEnded: () => void;
}

/**
 * Decides on requests with an idempotency key for the shards that this VM
 * holds. A claim is replicated before its request is dispatched, and the
 * outcome is recorded afterwards, so that a new holder doesn't run the request
 * again.
 */
export class ClaimLedger extends IdempotencyLedger implements VmComponent {
  readonly #options: ClaimLedgerOptions;
  readonly #running = new Map<string, RunningClaim>();
  readonly #replication: ClaimReplication;
  readonly #flush: ClaimFlush;
  #cancelExpiry: (() => void) | undefined;
  #lastClaimNumber = 0;

  /**
   * Creates the ledger; no timer runs before {@link start}.
   *
   * @param options - clock, timers, membership view, ownership and RPC client
   */
  constructor(options: ClaimLedgerOptions) {
    super();
    this.#options = options;
    const { clock, timers, fleet, calls, ownership } = options;
    const { settings } = ownership;
    const { callTimeoutMs } = settings;
    this.#replication = new ClaimReplication({ fleet, calls, callTimeoutMs });
    this.#flush = new ClaimFlush({
      clock,
      timers,
      fleet,
      settings,
      listShards: () =>
        ownership.listOwnShards().filter((shard) => isHolder(shard.replica)),
    });
  }

  start(): Promise<void> {
    this.#flush.start();
    const { timers } = this.#options;
    this.#cancelExpiry = scheduleRepeatedly(timers, EXPIRE_INTERVAL_MS, () => {
      this.#expireClaims();
    });
    return Promise.resolve();
  }

  async drain(): Promise<void> {
    const shards = this.#options.ownership.listOwnShards();
    await Promise.all(shards.map((shard) => shard.flushClaims()));
  }

  stop(): Promise<void> {
    this.#flush.stop();
    this.#cancelExpiry?.();
    return Promise.resolve();
  }

  override async claim(request: ClaimRequest): Promise<ClaimVerdict> {
    const id = this.#findShard(request.team);
    const { ownership, clock } = this.#options;
    let hasPolled = ownership.log.isUnavailable();
    for (;;) {
      if (!ownership.mayAct(id)) {
        return this.#refuse(request);
      }
      const shard = ownership.openShard(id);
      const decision = this.#decide(shard, request);
      switch (decision.kind) {
        case "claim":
          return await this.#recordClaim(shard, request, decision.supersedes);
        case "ended":
          return convertOutcome(decision.outcome);
        case "conflict":
          return { kind: "conflict" };
        case "outcome-unknown":
          if (hasPolled) {
            return { kind: "outcome-unknown" };
          }
          // The former holder may have written the end of its claim since.
          await shard.poll();
          hasPolled = true;
          break;
        case "wait":
          await this.#waitForEnd(decision.claimId, request);
      }
      if (clock.readMonotonicMs() >= request.context.deadlineAtMs) {
        return { kind: "still-running", retryAfterMs: REFUSAL_RETRY_MS };
      }
    }
  }

  override mayDispatch(claim: Claim): boolean {
    return this.#running.has(claim.claimId) &&
      this.#options.ownership.mayAct(this.#findShard(claim.team));
  }

  override async settle(
    claim: Claim,
    settlement: ClaimSettlement,
  ): Promise<void> {
    const running = this.#running.get(claim.claimId);
    if (running === undefined) {
      return;
    }
    const { maxStoredResponseBytes } = this.#options.ownership.settings;
    await this.#settleClaim(
      running,
      convertSettlement(settlement, maxStoredResponseBytes),
    );
  }

  #findShard(team: TeamId): ShardId {
    return findTeamShard(team, this.#options.ownership.settings.shardCount);
  }

  #expireClaims(): void {
    const nowMs = this.#options.clock.readWallMs();
    for (const shard of this.#options.ownership.listOwnShards()) {
      shard.claims.expire(nowMs);
    }
  }

  #decide(shard: OwnedShard, request: ClaimRequest) {
    const { idempotencyKey, team, fingerprint, context } = request;
    const nowMs = this.#options.clock.readWallMs();
    return shard.claims.decide({
      key: { team, idempotencyKey },
      fingerprint,
      isRunningHere: (claimId) => this.#running.has(claimId),
      mayMissClaims: shard.replica.ownership.unknownUntilMs > nowMs,
      windowMs: computeKeyWindowMs(idempotencyKey, context.route),
      nowMs,
    });
  }

  // The request may run only after every VM that could become the next holder
  // has recorded the claim. If there is no such VM, the claim must be in the
  // log, unless the log is unavailable.
  async #recordClaim(
    shard: OwnedShard,
    request: ClaimRequest,
    supersedes: string | undefined,
  ): Promise<ClaimVerdict> {
    const running = this.#addRunning(shard, request, supersedes);
    const { item } = running;
    const successors = listPossibleSuccessors(shard.replica);
    const isRecorded = successors.length > 0
      ? (await Promise.all(
        successors.map((peer) => this.#replication.send(shard, peer, [item])),
      )).every(Boolean)
      : await shard.flushClaims() ||
        this.#options.ownership.log.isUnavailable();
    if (isRecorded && this.#options.ownership.mayAct(shard.shard)) {
      const { claimId, team, idempotencyKey } = item;
      return { kind: "run", claim: { claimId, team, idempotencyKey } };
    }
    await this.#settleClaim(running, { kind: "not-run" });
    return { kind: "refused", retryAfterMs: REFUSAL_RETRY_MS };
  }

  #addRunning(
    shard: OwnedShard,
    request: ClaimRequest,
    supersedes: string | undefined,
  ): RunningClaim {
    this.#lastClaimNumber += 1;
    const self = formatIncarnation(shard.replica.self);
    const item = {
      kind: "claimed" as const,
      claimId: `${self}/${this.#lastClaimNumber}`,
      team: request.team,
      idempotencyKey: request.idempotencyKey,
      fingerprint: request.fingerprint,
      claimedAtMs: this.#options.clock.readWallMs(),
      supersedes,
    };
    const { promise: ended, resolve: notifyEnded } = makeDeferred();
    const running = { item, shard, ended, notifyEnded };
    this.#running.set(item.claimId, running);
    shard.addItems([item]);
    return running;
  }

  // After a handover the caller of a request that did not run sends it to the new
  // holder, so this waits until that one knows or can read it from the log.
  async #settleClaim(
    running: RunningClaim,
    outcome: ClaimOutcome,
  ): Promise<void> {
    const { item, shard } = running;
    const { claimId, team, idempotencyKey } = item;
    const settled: ClaimItem = {
      kind: "settled",
      claimId,
      team,
      idempotencyKey,
      outcome,
    };
    shard.addItems([settled]);
    this.#running.delete(claimId);
    running.notifyEnded();
    const sent = Promise.all(
      this.#listOutcomeReceivers(shard).map((peer) =>
        this.#replication.send(shard, peer, [settled])
      ),
    );
    if (
      outcome.kind === "not-run" &&
      !this.#options.ownership.mayAct(shard.shard)
    ) {
      const isKnown = (await sent).some(Boolean);
      await (isKnown || shard.flushClaims());
    }
  }

  // After a handover, the new holder and its standby must learn the outcomes of
  // requests that were still running at this VM.
  #listOutcomeReceivers(shard: OwnedShard) {
    if (this.#options.ownership.isOwnHolder(shard.shard)) {
      return listPossibleSuccessors(shard.replica);
    }
    const { holder, standby } = shard.replica.ownership;
    return [holder, standby].filter((vm) => vm !== undefined)
      .filter((vm) =>
        formatIncarnation(vm) !== formatIncarnation(shard.replica.self)
      );
  }

  async #waitForEnd(claimId: string, request: ClaimRequest): Promise<void> {
    const running = this.#running.get(claimId);
    const remainingMs = request.context.deadlineAtMs -
      this.#options.clock.readMonotonicMs();
    if (running === undefined || remainingMs <= 0) {
      return;
    }
    let cancel: (() => void) | undefined;
    const timeout = new Promise<void>((resolve) => {
      cancel = this.#options.timers.schedule(remainingMs, resolve);
    });
    await Promise.race([running.ended, timeout]);
    cancel?.();
  }

  override findOtherHolder(team: TeamId): SocketAddress | undefined {
    const { ownership, fleet } = this.#options;
    const shard = this.#findShard(team);
    const holder = ownership.findOwnership(shard)?.holder;
    const isHere = ownership.mayAct(shard) ||
      holder?.incarnation.vm === fleet.readSelf().incarnation.vm;
    return isHere ? undefined : holder?.callerAddress;
  }

  #refuse(request: ClaimRequest): ClaimVerdict {
    const to = this.findOtherHolder(request.team);
    return to !== undefined && !request.context.isPassedOn
      ? { kind: "pass-on", to }
      : { kind: "refused", retryAfterMs: REFUSAL_RETRY_MS };
  }
}

function makeDeferred(): {
  readonly promise: Promise<void>;
  readonly resolve: () => void;
} {
  let resolve: () => void = () => undefined;
  const promise = new Promise<void>((done) => {
    resolve = done;
  });
  return { promise, resolve };
}
