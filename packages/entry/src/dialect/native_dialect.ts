/** limpetford's native HTTP interface to callers and backend servers. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

import { type RequestId, toId } from "@limpetford/domain/ids";
import type { Result } from "@limpetford/domain/result";

import type { RequestContext } from "../ports/request_context.ts";
import type {
  Arrival,
  RequestTimes,
  UnreadArrival,
} from "../serving/arrival.ts";
import type { ResponseHead } from "../serving/attempt_listener.ts";
import type { AttemptRequest } from "../serving/attempt_message.ts";
import {
  buildAttemptRequest,
  readAttemptId,
} from "../serving/attempt_request.ts";
import type { CallerExchange } from "../serving/caller_exchange.ts";
import type { PresentedKey } from "../serving/caller_key.ts";
import type { Refusal } from "../serving/refusal.ts";
import {
  type Admission,
  admitRequest,
  estimateRequestTimes,
} from "../serving/request_admission.ts";
import type { OutboundRequest } from "../serving/response_receiver.ts";
import type { ServingPorts } from "../serving/serving_ports.ts";
import { selectRequestHeaders } from "./header_filter.ts";
import { HEADER } from "./header_names.ts";
import { refuseMalformedRequest } from "./malformed_request.ts";
import { OwnEndpoints } from "./own_endpoints.ts";
import {
  buildProblemResponse,
  sendProblemResponse,
} from "./problem_response.ts";
import { decideOutcome, isCertainlyNotRun } from "./response_classification.ts";
import {
  type AttemptDetails,
  type RefusalOptions,
  type RequestHead,
  type ResponseClassification,
  ServingDialect,
} from "./serving_dialect.ts";

// Request identifiers that other VMs generate.
const FORWARDED_ID_PATTERN = /^[0-9a-z]{1,16}-[0-9a-z]{1,16}$/;

/**
 * Authenticates callers by bearer keys, deduplicates requests by idempotency
 * keys, and reports errors as problem documents. Uses `limpetford-` headers.
 */
export class NativeDialect extends ServingDialect {
  override readonly bufferedResponseBytes = 0;
  readonly #ports: ServingPorts;
  readonly #ownEndpoints: OwnEndpoints;

  /**
   * Creates the dialect.
   *
   * @param ports - supplies the configuration and the list of entry VMs
   */
  constructor(ports: ServingPorts) {
    super();
    this.#ports = ports;
    this.#ownEndpoints = new OwnEndpoints(ports);
  }

  override findRequestId(request: IncomingMessage): RequestId | undefined {
    const passedOn = request.headers[HEADER.passedOn];
    const given = request.headers[HEADER.requestId];
    return passedOn !== undefined && typeof given === "string" &&
        FORWARDED_ID_PATTERN.test(given)
      ? toId<RequestId>(given)
      : undefined;
  }

  override handleOwnRequest(
    exchange: CallerExchange,
    isStopping: boolean,
  ): boolean {
    return this.#ownEndpoints.handle(exchange, isStopping);
  }

  override admit(
    request: IncomingMessage,
    arrival: Arrival,
  ): Result<Admission, Refusal> {
    return admitRequest(this.#ports.configuration, request, arrival);
  }

  override estimateTimes(
    request: RequestHead,
    arrival: UnreadArrival,
  ): RequestTimes {
    return estimateRequestTimes(this.#ports.configuration, request, arrival);
  }

  override isClaimed(context: RequestContext): boolean {
    return !context.route.isIdempotent && context.team !== undefined;
  }

  override selectRequestHeaders(
    rawHeaders: readonly string[],
    key: PresentedKey | undefined,
  ): string[] {
    return selectRequestHeaders(rawHeaders, key?.secret);
  }

  override buildAttempt(
    request: OutboundRequest,
    details: AttemptDetails,
  ): AttemptRequest {
    return buildAttemptRequest(request, details);
  }

  override readResponse(head: ResponseHead): ResponseClassification {
    const isNotRun = isCertainlyNotRun(head);
    // Servers need not name the attempt.
    const isIdentified = !isNotRun || readAttemptId(head.headers) !== undefined;
    return { outcome: decideOutcome(head), isNotRun, isIdentified };
  }

  override listResponseHeaders(requestId: RequestId): readonly string[] {
    return [HEADER.requestId, requestId];
  }

  override sendRefusal(
    response: ServerResponse,
    refusal: Refusal,
    options: RefusalOptions,
  ): void {
    sendProblemResponse(response, buildProblemResponse(refusal), options);
  }

  override refuseMalformed(
    error: NodeJS.ErrnoException,
    socket: Duplex,
    isBusy: boolean,
  ): void {
    refuseMalformedRequest(error, socket, isBusy);
  }
}
