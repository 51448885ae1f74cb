/** Input and output of the attempts at one request. */

import type { Readable } from "node:stream";

import type { ServingDialect } from "../dialect/serving_dialect.ts";
import type { RequestContext } from "../ports/request_context.ts";
import type { ArrivalQueue } from "./arrival_queue.ts";
import type { ResponseHead } from "./attempt_listener.ts";
import type { BackendConnectionPool } from "./backend_connection_pool.ts";
import type { MemoryShare } from "./memory_budget.ts";
import type { Refusal } from "./refusal.ts";
import type { RequestRecord } from "./request_explanations.ts";
import type { ServingPorts } from "./serving_ports.ts";

/**
 * Receives the final response of a series of attempts, or the refusal to send
 * in its place.
 */
export abstract class ResponseReceiver {
  /** Receives status and headers of the response. */
  abstract receiveHead(head: ResponseHead): void;
  /**
   * Receives a chunk of the body.
   *
   * @returns false to pause the response until `AttemptSeries.resume`
   */
  abstract receiveChunk(chunk: Buffer): boolean;
  /** Receives the last chunk, if any, and the end of a complete response. */
  abstract receiveEnd(last: Buffer | undefined): void;
  /**
   * Receives a complete response at once, in place of head and end.
   *
   * @param head - status and headers
   * @param body - the whole body, which may be empty
   */
  receiveWhole(head: ResponseHead, body: Buffer): void {
    this.receiveHead(head);
    this.receiveEnd(body.length === 0 ? undefined : body);
  }
  /** Called if the response is truncated after its headers. */
  abstract receiveCut(): void;
  /** Called instead of `receiveHead` if no attempt gives a response. */
  abstract receiveRefusal(refusal: Refusal): void;
  /**
   * Discards a response of which nothing has been sent to the caller, so that
   * another attempt can replace it.
   *
   * @returns false if part of it has been sent
   */
  dropResponse(): boolean {
    return false;
  }
}

/** A request to send to backend servers, the same for every attempt. */
export interface OutboundRequest {
  readonly context: RequestContext;
  /** Alternating names and values, without those that limpetford adds. */
  readonly headers: readonly string[];
  readonly body: Buffer | Readable | undefined;
  /** True if the request may be retried even if it may have run. */
  readonly isRetryable: boolean;
  /** Computes the SHA-256 digest that is the same for identical requests. */
  readonly computeFingerprint: () => string;
  /**
   * Called immediately before the first byte is sent; false cancels the
   * attempt. If absent, every attempt may be sent.
   */
  readonly mayDispatch?: () => boolean;
  /** `traceparent` header of the previous hop. */
  readonly traceparent: string | undefined;
  readonly record: RequestRecord;
}

/** Dependencies of a series of attempts. */
export interface SeriesDependencies {
  readonly ports: ServingPorts;
  readonly dialect: ServingDialect;
  readonly connections: BackendConnectionPool;
  /** Connections to the VMs that requests are forwarded to. */
  readonly peerConnections: BackendConnectionPool;
  /** Delays attempts while callers may have left unnoticed, and timeouts. */
  readonly arrivals: ArrivalQueue;
  /** What the request holds of the VM's memory. */
  readonly memory: MemoryShare;
  /**
   * Called in place of the receiver if a step of the series or of the receiver
   * throws, once all attempts have been cancelled.
   */
  readonly abort: (refusal: Refusal) => void;
}

/**
 * Checks whether a request can be sent a second time.
 *
 * @param request - the outbound request
 * @returns false if its body is streamed, since a stream can be read only once
 */
export function isReplayable({ body }: OutboundRequest): boolean {
  return body === undefined || Buffer.isBuffer(body);
}
