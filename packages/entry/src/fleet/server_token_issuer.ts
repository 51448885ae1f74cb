/** Grants the tokens of the rate limits that backend servers name. */

import { ServerLimitBucket } from "@limpetford/core/limits/server_limit_bucket";
import type { Clock } from "@limpetford/core/time/clock";
import { type ServerId, toId, type ZoneId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";
import type {
  ServerLimitReport,
  ServerTokenReply,
  ServerTokenRequest,
  TokenGrant,
} from "@limpetford/peer/fleet_sync";

import type { LimitOwnership } from "./limit_ownership.ts";
import type { ServerLimitTracker } from "./server_limit_tracker.ts";

/** Longest time that a VM is told to wait before it asks again. */
const MAX_RETRY_MS = 1_000;
/** A bucket that nobody has asked for this long is dropped. */
const IDLE_BUCKET_MS = 10_000;

/** Dependencies of a {@link ServerTokenIssuer}. */
export interface ServerTokenIssuerOptions {
  readonly self: Vm;
  readonly ownership: LimitOwnership;
  readonly tracker: ServerLimitTracker;
  readonly clock: Clock;
}

interface IssuedLimit {
  readonly startedAtMs: number;
  readonly bucket: ServerLimitBucket;
  askedAtMs: number;
}

/** Answers the requests for tokens of the servers that this VM owns. */
export class ServerTokenIssuer {
  readonly #options: ServerTokenIssuerOptions;
  readonly #limits = new Map<ServerId, IssuedLimit>();

  /**
   * Starts without buckets.
   *
   * @param options - ownership, known limits and clock
   */
  constructor(options: ServerTokenIssuerOptions) {
    this.#options = options;
  }

  /**
   * Grants or refuses a token.
   *
   * @param request - the limit as far as the sender knows it
   * @returns the decision
   */
  handleRequest({ limit, zone }: ServerTokenRequest): ServerTokenReply {
    const { self, ownership, tracker, clock } = this.#options;
    if (!ownership.isOwner(toId<ZoneId>(zone))) {
      return { kind: "not-owner" };
    }
    const nowMs = clock.readMonotonicMs();
    const server = toId<ServerId>(limit.server);
    const known = tracker.find({ id: server, startedAtMs: limit.startedAtMs });
    const hasEnded = known !== undefined &&
      known.requestsPerSecond === undefined &&
      known.knownAtMs > nowMs - limit.ageMs;
    if (hasEnded) {
      return { kind: "ended", ageMs: nowMs - known.knownAtMs };
    }
    const issued = this.#openBucket(
      server,
      limit.startedAtMs,
      known?.requestsPerSecond ?? limit.requestsPerSecond ?? 0,
    );
    if (issued.startedAtMs > limit.startedAtMs) {
      // The sender has not heard yet that the server has restarted.
      return { kind: "refused", retryAfterMs: MAX_RETRY_MS };
    }
    const waitMs = issued.bucket.take(ownership.computeShare(), nowMs);
    return waitMs === 0
      ? {
        kind: "granted",
        grant: {
          vm: self.incarnation.vm,
          startedAtMs: self.incarnation.startedAtMs,
          clockMs: nowMs,
        },
      }
      : { kind: "refused", retryAfterMs: Math.min(MAX_RETRY_MS, waitMs) };
  }

  /**
   * Applies what a response says of its server's limit.
   *
   * @param report - the server, its limit and the grant of the request
   */
  handleReport(report: ServerLimitReport): void {
    const { tracker, clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const server = toId<ServerId>(report.server);
    const issued = this.#limits.get(server);
    if (issued?.startedAtMs !== report.startedAtMs) {
      return;
    }
    const grantedAtMs = this.#readGrant(report.grant);
    if (report.requestsPerSecond === undefined) {
      issued.bucket.observeNone(grantedAtMs, nowMs);
    } else {
      issued.bucket.observeNamed(report.requestsPerSecond, grantedAtMs, nowMs);
    }
    if (issued.bucket.hasEnded) {
      this.#limits.delete(server);
      tracker.recordEnd({ id: server, startedAtMs: report.startedAtMs });
    }
  }

  /** Drops the buckets of limits that nobody asks for any more. */
  expire(): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    for (const [server, { askedAtMs }] of this.#limits) {
      if (nowMs - askedAtMs > IDLE_BUCKET_MS) {
        this.#limits.delete(server);
      }
    }
  }

  #openBucket(
    server: ServerId,
    startedAtMs: number,
    requestsPerSecond: number,
  ): IssuedLimit {
    const nowMs = this.#options.clock.readMonotonicMs();
    const known = this.#limits.get(server);
    if (known !== undefined && known.startedAtMs >= startedAtMs) {
      known.askedAtMs = nowMs;
      return known;
    }
    const created = {
      startedAtMs,
      bucket: new ServerLimitBucket(requestsPerSecond, nowMs),
      askedAtMs: nowMs,
    };
    this.#limits.set(server, created);
    return created;
  }

  // Grants of other VMs and of earlier processes say nothing on this clock.
  #readGrant(grant: TokenGrant | undefined): number | undefined {
    const { vm, startedAtMs } = this.#options.self.incarnation;
    return grant?.vm === vm && grant.startedAtMs === startedAtMs
      ? grant.clockMs
      : undefined;
  }
}
