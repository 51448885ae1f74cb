/** Calls to the holder of a team's shard for tokens. */

import type { GrantReport } from "@limpetford/core/limits/held_grants";
import type { TeamTokenCache } from "@limpetford/core/limits/team_token_cache";
import type { Clock } from "@limpetford/core/time/clock";
import type { TeamId } from "@limpetford/domain/ids";
import type { SocketAddress } from "@limpetford/domain/vm";
import type { AcquireTokensReply } from "@limpetford/peer/generated/limits";
import type { LimitsCalls } from "@limpetford/peer/limits_handlers";

const ASK_TIMEOUT_MS = 300;

/** What the calls work with. */
export interface TokenCallsOptions {
  readonly calls: LimitsCalls;
  readonly clock: Clock;
  /** Name of this VM's incarnation. */
  readonly vm: string;
}

/** Whom to ask for which team. */
export interface TokenAsk {
  readonly team: TeamId;
  readonly wallet: TeamTokenCache;
  readonly to: SocketAddress;
}

/**
 * Asks at most once at a time per team; requests that come meanwhile wait for
 * the same answer.
 */
export class TokenCalls {
  readonly #options: TokenCallsOptions;
  readonly #running = new Map<
    TeamId,
    Promise<AcquireTokensReply | undefined>
  >();
  readonly #waiting = new Map<TeamId, number>();

  /**
   * Creates the calls.
   *
   * @param options - the parts they work with
   */
  constructor(options: TokenCallsOptions) {
    this.#options = options;
  }

  /**
   * Asks for a token for one waiting request, and for more ahead of need.
   *
   * @param ask - whom to ask
   * @returns the answer, put into the wallet; undefined if there was none
   */
  async fetchTokens(ask: TokenAsk): Promise<AcquireTokensReply | undefined> {
    const running = this.#running.get(ask.team);
    const waiting = (this.#waiting.get(ask.team) ?? 0) + 1;
    this.#waiting.set(ask.team, waiting);
    if (running !== undefined) {
      await running;
      // Those who came during the call share one more.
      const next = this.#running.get(ask.team);
      return await (next ?? this.#startAsk(ask));
    }
    return await this.#startAsk(ask);
  }

  /**
   * Gives back tokens that will not be spent.
   *
   * @param ask - whom to give them
   * @param reports - the tokens
   */
  async sendReturns(
    ask: TokenAsk,
    reports: readonly GrantReport[],
  ): Promise<void> {
    await this.#options.calls.sendAcquireTokens(
      {
        team: ask.team,
        vm: this.#options.vm,
        needed: 0,
        demandPerSecond: 0,
        reports: [...reports],
      },
      { to: ask.to, timeoutMs: ASK_TIMEOUT_MS },
    );
  }

  #startAsk(ask: TokenAsk): Promise<AcquireTokensReply | undefined> {
    const started = this.#runAsk(ask).finally(() => {
      this.#running.delete(ask.team);
    });
    this.#running.set(ask.team, started);
    return started;
  }

  async #runAsk(ask: TokenAsk): Promise<AcquireTokensReply | undefined> {
    // Requests of the same turn of the event loop go into one call.
    await Promise.resolve();
    const askedAtMs = this.#options.clock.readMonotonicMs();
    const needed = this.#waiting.get(ask.team) ?? 1;
    this.#waiting.delete(ask.team);
    const result = await this.#options.calls.sendAcquireTokens(
      {
        team: ask.team,
        vm: this.#options.vm,
        needed,
        demandPerSecond: ask.wallet.readDemand(askedAtMs),
        reports: [...ask.wallet.takeReports(askedAtMs)],
      },
      { to: ask.to, timeoutMs: ASK_TIMEOUT_MS },
    );
    if (!result.ok) {
      return undefined;
    }
    const { isHeld, tokens, id, validForMs, retryAfterMs } = result.value;
    if (tokens > 0) {
      ask.wallet.addGrant({ id, tokens, validForMs }, askedAtMs);
    } else if (isHeld) {
      const nowMs = this.#options.clock.readMonotonicMs();
      ask.wallet.recordShortage(nowMs, retryAfterMs);
    }
    return result.value;
  }
}
