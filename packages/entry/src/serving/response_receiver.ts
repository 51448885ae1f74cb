/** What a series of attempts is given, and what it gives back. */

import type { Readable } from "node:stream";

import type { ServingDialect } from "../dialect/serving_dialect.ts";
import type { RequestContext } from "../ports/request_context.ts";
import type { ResponseHead } from "./backend_attempt.ts";
import type { BackendConnections } from "./backend_connections.ts";
import type { Refusal } from "./refusal.ts";
import type { RequestRecord } from "./request_explanations.ts";
import type { ServingPorts } from "./serving_ports.ts";

/** Receives the one answer of a series, or why there is none. */
export abstract class AnswerReceiver {
  /** Receives the head of the answer. */
  abstract receiveHead(head: ResponseHead): void;
  /**
   * Receives a part of the body.
   *
   * @returns false to be sent no more until `resume` of the series
   */
  abstract receiveChunk(chunk: Buffer): boolean;
  /** Receives the last part of the body, if any, and the end of a whole answer. */
  abstract receiveEnd(last: Buffer | undefined): void;
  /** Receives the news that the answer broke off after its head. */
  abstract receiveCut(): void;
  /** Receives the reason why there is no answer. */
  abstract receiveRefusal(refusal: Refusal): void;
  /**
   * Drops an answer of which nothing has been passed on.
   *
   * @returns false if a part of it is with the caller
   */
  resetAnswer(): boolean {
    return false;
  }
}

/** A request as the series sends it. */
export interface OutboundRequest {
  readonly context: RequestContext;
  /** Names and values in turn, without those of limpetford. */
  readonly headers: readonly string[];
  readonly body: Buffer | Readable | undefined;
  /** True if the request may be sent again although it may have run. */
  readonly isRepeatable: boolean;
  /** Computes the digest that tells equal requests. */
  readonly computeFingerprint: () => string;
  /** Asked immediately before the first byte. */
  readonly mayDispatch?: () => boolean;
  /** `traceparent` of the hop before. */
  readonly traceparent: string | undefined;
  readonly record: RequestRecord;
}

/** What a series works with. */
export interface SeriesEnvironment {
  readonly ports: ServingPorts;
  readonly dialect: ServingDialect;
  readonly connections: BackendConnections;
}

/**
 * Checks whether a request can be sent a second time.
 *
 * @param request - the request
 * @returns false if its body has been read from the caller
 */
export function isReplayable({ body }: OutboundRequest): boolean {
  return body === undefined || Buffer.isBuffer(body);
}
