/** Serves requests that must not run more than once. */

import { deriveIdempotencyKey } from "@limpetford/core/claims/idempotency_key";
import type { TeamId } from "@limpetford/domain/ids";
import {
  REQUEST_OUTCOME,
  type RequestOutcome,
} from "@limpetford/domain/request_outcome";
import type { SocketAddress } from "@limpetford/domain/vm";

import { HEADER } from "../dialect/header_names.ts";
import type { ServingDialect } from "../dialect/serving_dialect.ts";
import type {
  Claim,
  ClaimRequest,
  ClaimVerdict,
} from "../ports/idempotency_ledger.ts";
import {
  type AdmittedExchange,
  buildOutboundRequest,
  refuseOverRate,
} from "./admitted_exchange.ts";
import type { ArrivalQueue } from "./arrival_queue.ts";
import { AttemptSeries } from "./attempt_series.ts";
import type { BackendConnectionPool } from "./backend_connection_pool.ts";
import { ClaimSettler, ReplayBuffer } from "./claim_settler.ts";
import { ClaimedRequestReceiver } from "./claimed_request_receiver.ts";
import { ExchangeReceiver } from "./exchange_receiver.ts";
import { PeerForwarder } from "./peer_forwarder.ts";
import { type Refusal, refuseNotRun, refuseUnknown } from "./refusal.ts";
import { type BodyBudget, readBody } from "./request_body.ts";
import { computeFingerprint } from "./request_fingerprint.ts";
import type { ServingPorts } from "./serving_ports.ts";

const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

/** Dependencies and limits of the handler of claimed requests. */
export interface ClaimedRequestHandlerOptions {
  readonly ports: ServingPorts;
  readonly dialect: ServingDialect;
  readonly connections: {
    readonly backend: BackendConnectionPool;
    readonly peer: BackendConnectionPool;
  };
  readonly arrivals: ArrivalQueue;
  readonly bodyBudget: BodyBudget;
  /** Maximum size of a response body that is kept for replay, in bytes. */
  readonly keptAnswerBytes: number;
}

/**
 * Serves requests of routes that are not idempotent. Forwards a request to the
 * VM that holds the shard of its team, or records a claim on this VM and sends
 * the request once.
 */
export class ClaimedRequestHandler {
  readonly #ports: ServingPorts;
  readonly #options: ClaimedRequestHandlerOptions;

  /**
   * Prepares to serve requests.
   *
   * @param options - ports, connection pools and limits
   */
  constructor(options: ClaimedRequestHandlerOptions) {
    this.#ports = options.ports;
    this.#options = options;
  }

  /**
   * Serves one request until its claim has been settled.
   *
   * @param admitted - admitted request of a route that is not idempotent
   * @param team - team under which the claim is recorded
   */
  async serve(admitted: AdmittedExchange, team: TeamId): Promise<void> {
    const { exchange, context, key } = admitted;
    const body = await readBody(exchange.request, {
      limitBytes: context.route.bodyLimitBytes,
      timeoutMs: this.#readRemainingMs(admitted),
      budget: this.#options.bodyBudget,
      memory: admitted.memory,
    });
    if (!body.ok) {
      exchange.refuse(body.error);
      return;
    }
    try {
      const bytes = body.value.bytes;
      if (key !== undefined && bytes?.includes(key.secret) === true) {
        exchange.refuse(refuseNotRun("key-in-target"));
        return;
      }
      await this.#serveWithBody(admitted, team, bytes);
    } finally {
      this.#options.bodyBudget.release(body.value.reservedBytes);
    }
  }

  async #serveWithBody(
    admitted: AdmittedExchange,
    team: TeamId,
    body: Buffer | undefined,
  ): Promise<void> {
    const { exchange, context } = admitted;
    const request = buildClaimRequest(admitted, team, body);
    if (request === undefined) {
      exchange.refuse(refuseNotRun("idempotency-key-missing"));
      return;
    }
    // Only the VM that holds the team's shard takes a token from the rate
    // limiter, so that a forwarded request is not counted twice.
    const holder = this.#ports.ledger.findOtherHolder(team);
    if (holder !== undefined) {
      await this.#forward(admitted, body, holder);
      return;
    }
    const rate = await this.#ports.rateLimiter.acquire(team, context);
    if (rate.kind !== "granted") {
      refuseOverRate(exchange, rate);
      return;
    }
    const verdict = await this.#ports.ledger.claim(request);
    admitted.record.claim = verdict.kind;
    await this.#applyVerdict(admitted, body, verdict);
  }

  async #applyVerdict(
    admitted: AdmittedExchange,
    body: Buffer | undefined,
    verdict: ClaimVerdict,
  ): Promise<void> {
    const { exchange } = admitted;
    switch (verdict.kind) {
      case "run":
        await this.#run(admitted, body, verdict.claim);
        return;
      case "pass-on":
        await this.#forward(admitted, body, verdict.to);
        return;
      case "replay":
        exchange.sendStoredResponse(verdict.answer);
        return;
      default:
        exchange.refuse(mapClaimVerdict(verdict));
    }
  }

  #run(
    admitted: AdmittedExchange,
    body: Buffer | undefined,
    claim: Claim,
  ): Promise<void> {
    const { exchange, context } = admitted;
    const settler = new ClaimSettler(this.#ports.ledger, claim);
    return new Promise((resolve) => {
      let hasEnded = false;
      const caller = new ExchangeReceiver(exchange, {
        complete: () => {
          admitted.record.status = caller.status;
        },
      });
      const receiver = new ClaimedRequestReceiver({
        caller,
        settler,
        replayBuffer: new ReplayBuffer(this.#options.keptAnswerBytes),
        complete: () => {
          hasEnded = true;
          clearTimeout(callerTimer);
          clearTimeout(routeTimer);
          resolve();
        },
      });
      const series = new AttemptSeries(
        {
          ports: this.#ports,
          dialect: this.#options.dialect,
          connections: this.#options.connections.backend,
          peerConnections: this.#options.connections.peer,
          arrivals: this.#options.arrivals,
          memory: admitted.memory,
          abort: (refusal) => {
            hasEnded = true;
            clearTimeout(callerTimer);
            clearTimeout(routeTimer);
            exchange.abort(refusal);
            const isNotRun = refusal.outcome === REQUEST_OUTCOME.notRun;
            void settler.settle({ kind: isNotRun ? "not-run" : "unknown" })
              .then(resolve);
          },
        },
        {
          ...buildOutboundRequest(admitted, body, this.#options.dialect),
          mayDispatch: () => settler.mayDispatch(),
        },
        receiver,
      );
      const { arrivals } = this.#options;
      const callerTimer = setTimeout(() => {
        arrivals.runOnceRead(() => {
          if (hasEnded) {
            return;
          }
          if (series.hasDispatched) {
            receiver.expireCaller(refuseUnknown("deadline-passed"));
          } else {
            series.expire();
          }
        });
      }, this.#readRemainingMs(admitted));
      const routeTimer = setTimeout(() => {
        arrivals.runOnceRead(() => {
          series.expire();
        });
      }, context.route.deadlineMs);
      exchange.setDisconnectListener(() => {
        series.resume();
      });
      exchange.writer.setDrainListener(() => {
        series.resume();
      });
      // A claim may take longer than the request's time, as with a slow log.
      if (this.#readRemainingMs(admitted) > 0) {
        series.start();
      } else {
        series.expire();
      }
    });
  }

  #forward(
    admitted: AdmittedExchange,
    body: Buffer | undefined,
    to: SocketAddress,
  ): Promise<void> {
    const { exchange, context, record } = admitted;
    if (context.isPassedOn) {
      exchange.refuse(refuseNotRun("not-holder"));
      return Promise.resolve();
    }
    if (this.#readRemainingMs(admitted) <= 0) {
      exchange.refuse(refuseNotRun("deadline-passed"));
      return Promise.resolve();
    }
    record.passedOnTo = `${to.host}:${to.port}`;
    return new Promise((resolve) => {
      const forwarder = new PeerForwarder(
        exchange,
        buildOutboundRequest(admitted, body, this.#options.dialect),
        {
          ports: this.#ports,
          connections: this.#options.connections.peer,
          key: admitted.key,
          complete: () => {
            clearTimeout(timer);
            record.status = forwarder.status;
            resolve();
          },
        },
      );
      const timer = setTimeout(() => {
        forwarder.expire();
      }, this.#readRemainingMs(admitted));
      exchange.setDisconnectListener(() => {
        forwarder.resume();
      });
      exchange.writer.setDrainListener(() => {
        forwarder.resume();
      });
      forwarder.start(to);
    });
  }

  #readRemainingMs(admitted: AdmittedExchange): number {
    return admitted.context.deadlineAtMs -
      this.#ports.clock.readMonotonicMs();
  }
}

function buildClaimRequest(
  admitted: AdmittedExchange,
  team: TeamId,
  body: Buffer | undefined,
): ClaimRequest | undefined {
  const { context, exchange } = admitted;
  const fingerprint = computeFingerprint(context, body);
  const presented = exchange.request.headers[HEADER.idempotencyKey];
  if (typeof presented === "string" && isValidIdempotencyKey(presented)) {
    return {
      context,
      team,
      idempotencyKey: presented,
      fingerprint,
    };
  }
  const derived = presented === undefined
    ? deriveIdempotencyKey(context.route, fingerprint)
    : undefined;
  return derived === undefined
    ? undefined
    : { context, team, idempotencyKey: derived, fingerprint };
}

function isValidIdempotencyKey(key: string): boolean {
  return key.length > 0 && key.length <= MAX_IDEMPOTENCY_KEY_LENGTH;
}

/** Verdicts for which the caller gets a refusal. */
type RefusingVerdict = Exclude<
  ClaimVerdict,
  { readonly kind: "run" | "pass-on" | "replay" }
>;

function mapClaimVerdict(verdict: RefusingVerdict): Refusal {
  switch (verdict.kind) {
    case "ran-answer-not-kept":
      return { kind: "answer-not-kept", outcome: REQUEST_OUTCOME.ran };
    case "conflict":
      return refuseNotRun("idempotency-key-reused");
    case "outcome-unknown":
      return refuseUnknown("outcome-unknown");
    case "still-running":
      return refuseLater("still-running", REQUEST_OUTCOME.unknown, verdict);
    case "refused":
      return refuseLater("claim-refused", REQUEST_OUTCOME.notRun, verdict);
  }
}

function refuseLater(
  kind: Refusal["kind"],
  outcome: RequestOutcome,
  verdict: { readonly retryAfterMs: number },
): Refusal {
  return { kind, outcome, retryAfterMs: verdict.retryAfterMs };
}
