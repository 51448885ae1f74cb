/** Fetches rate limit tokens from the holder of a team's shard. */

import type { GrantReport } from "@limpetford/core/limits/held_grants";
import type { TeamTokenCache } from "@limpetford/core/limits/team_token_cache";
import type { Clock } from "@limpetford/core/time/clock";
import type { TeamId } from "@limpetford/domain/ids";
import type { SocketAddress } from "@limpetford/domain/vm";
import type { AcquireTokensReply } from "@limpetford/peer/generated/limits";
import type { LimitsCalls } from "@limpetford/peer/limits_handlers";

const CALL_TIMEOUT_MS = 300;

/** Dependencies of a {@link TokenClient}. */
export interface TokenClientOptions {
  readonly calls: LimitsCalls;
  readonly clock: Clock;
  /** Formatted incarnation of this VM, sent with each request. */
  readonly vm: string;
}

/** A request to a holder for a team's tokens. */
export interface TokenFetch {
  readonly team: TeamId;
  /** Receives the granted tokens. */
  readonly cache: TeamTokenCache;
  /** Peer address of the holder. */
  readonly to: SocketAddress;
}

/**
 * Batches token requests: at most one call per team is in flight. Requests that
 * arrive during a call share the next one.
 */
export class TokenClient {
  readonly #options: TokenClientOptions;
  readonly #running = new Map<
    TeamId,
    Promise<AcquireTokensReply | undefined>
  >();
  readonly #waiting = new Map<TeamId, number>();

  /**
   * Creates a client without calls in flight.
   *
   * @param options - RPC calls, clock and the name of this VM
   */
  constructor(options: TokenClientOptions) {
    this.#options = options;
  }

  /**
   * Fetches a token for one waiting request and prefetches more by the team's
   * demand. Granted tokens are added to the cache.
   *
   * @param request - the team, its cache and the holder
   * @returns the holder's reply; undefined if the call failed
   */
  async fetchTokens(
    request: TokenFetch,
  ): Promise<AcquireTokensReply | undefined> {
    const running = this.#running.get(request.team);
    const waiting = (this.#waiting.get(request.team) ?? 0) + 1;
    this.#waiting.set(request.team, waiting);
    if (running !== undefined) {
      await running;
      // Requests that arrived during the call share the next one.
      const next = this.#running.get(request.team);
      return await (next ?? this.#startFetch(request));
    }
    return await this.#startFetch(request);
  }

  /**
   * Returns unspent tokens to the holder.
   *
   * @param request - the team and the holder
   * @param reports - the returned grants and their unspent tokens
   */
  async returnTokens(
    request: TokenFetch,
    reports: readonly GrantReport[],
  ): Promise<void> {
    await this.#options.calls.sendAcquireTokens(
      {
        team: request.team,
        vm: this.#options.vm,
        needed: 0,
        demandPerSecond: 0,
        reports: [...reports],
      },
      { to: request.to, timeoutMs: CALL_TIMEOUT_MS },
    );
  }

  #startFetch(request: TokenFetch): Promise<AcquireTokensReply | undefined> {
    const started = this.#runFetch(request).finally(() => {
      this.#running.delete(request.team);
    });
    this.#running.set(request.team, started);
    return started;
  }

  async #runFetch(
    request: TokenFetch,
  ): Promise<AcquireTokensReply | undefined> {
    // Counts all requests of this turn of the event loop into one call.
    await Promise.resolve();
    const requestedAtMs = this.#options.clock.readMonotonicMs();
    const needed = this.#waiting.get(request.team) ?? 1;
    this.#waiting.delete(request.team);
    const result = await this.#options.calls.sendAcquireTokens(
      {
        team: request.team,
        vm: this.#options.vm,
        needed,
        demandPerSecond: request.cache.readDemand(requestedAtMs),
        reports: [...request.cache.takeReports(requestedAtMs)],
      },
      { to: request.to, timeoutMs: CALL_TIMEOUT_MS },
    );
    if (!result.ok) {
      return undefined;
    }
    const { isHeld, tokens, id, validForMs, retryAfterMs } = result.value;
    if (tokens > 0) {
      request.cache.addGrant({ id, tokens, validForMs }, requestedAtMs);
    } else if (isHeld) {
      const nowMs = this.#options.clock.readMonotonicMs();
      request.cache.recordShortage(nowMs, retryAfterMs);
    }
    return result.value;
  }
}
