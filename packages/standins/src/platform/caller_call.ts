/** Requests of callers that speak the platform's protocol. */

import * as http from "node:http";

import type { SocketAddress } from "@limpetford/domain/vm";

import { PROTOCOL_CALL, PROTOCOL_HEADER } from "./protocol_names.ts";

const STATUS_OK = 200;

/** A whole answer. */
export interface CallerAnswer {
  /** 0 if the connection ended without an answer. */
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** What a caller sends. */
export interface CallerRequest {
  readonly path: string;
  readonly method?: string;
  readonly host?: string;
  readonly key?: string | undefined;
  readonly id?: string;
  readonly timeLeftMs?: number;
  readonly body?: string;
  /** When the caller closes its connection; never by default. */
  readonly leaveAfterMs?: number;
}

let requestCount = 0;

/**
 * Sends one request on a connection of its own.
 *
 * @param address - where to
 * @param request - the request
 * @returns the answer; status 0 without a whole one
 */
export function sendCall(
  address: SocketAddress,
  request: CallerRequest,
): Promise<CallerAnswer> {
  requestCount += 1;
  const body = request.body ?? "";
  return new Promise((resolve) => {
    const call = http.request({
      host: address.host,
      port: address.port,
      path: request.path,
      method: request.method ?? "GET",
      agent: false,
      headers: {
        host: request.host ?? "bands.example",
        [PROTOCOL_HEADER.requestId]: request.id ?? `request-${requestCount}`,
        [PROTOCOL_HEADER.timeLeftMs]: request.timeLeftMs ?? 3_000,
        ...request.key === undefined
          ? {}
          : { [PROTOCOL_HEADER.callerKey]: request.key },
        ...body === "" ? {} : { "content-length": Buffer.byteLength(body) },
      },
    }, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("close", () => {
        resolve({
          status: response.complete ? response.statusCode ?? 0 : 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString("utf8"),
        });
      });
    });
    call.on("error", () => {
      resolve({ status: 0, headers: {}, body: "" });
    });
    if (request.leaveAfterMs !== undefined) {
      const timer = setTimeout(() => call.destroy(), request.leaveAfterMs);
      call.on("close", () => {
        clearTimeout(timer);
      });
    }
    call.end(body);
  });
}

/**
 * Asks a VM whether it is ready.
 *
 * @param address - where it answers such calls
 * @returns true if it says so
 */
export async function sendReadinessCall(
  address: SocketAddress,
): Promise<boolean> {
  const answer = await sendCall(address, { path: PROTOCOL_CALL.readiness });
  return answer.status === STATUS_OK;
}

/**
 * Asks a VM which addresses to use.
 *
 * @param address - where its directory listens
 * @param zone - the caller's zone
 * @returns the addresses; none without a good answer
 */
export async function listDirectory(
  address: SocketAddress,
  zone: string,
): Promise<readonly string[]> {
  const query = `name=bands.example&region=r&zone=${zone}`;
  const path = `${PROTOCOL_CALL.directory}?${query}`;
  const answer = await sendCall(address, { path });
  if (answer.status !== STATUS_OK) {
    return [];
  }
  const document = JSON.parse(answer.body) as { addresses: string[] };
  return document.addresses;
}
