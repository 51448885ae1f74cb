/** HTTP client that speaks the platform's protocol as callers do. */

import * as http from "node:http";

import type { SocketAddress } from "@limpetford/domain/vm";

import { PROTOCOL_HEADER, PROTOCOL_PATH } from "./protocol_names.ts";

const STATUS_OK = 200;

/** The response to a caller, read to its end. */
export interface CallerResponse {
  /** HTTP status; 0 if no complete response arrived. */
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** A request of a caller; omitted fields get defaults. */
export interface CallerRequest {
  readonly path: string;
  /** Default GET. */
  readonly method?: string;
  /** Host header; default `bands.example`. */
  readonly host?: string;
  /** API key; none by default. */
  readonly key?: string | undefined;
  /** Request identifier; default a unique one. */
  readonly id?: string;
  /** Time until the request's deadline, in milliseconds; default 3000. */
  readonly timeLeftMs?: number;
  readonly body?: string;
  /** True to send the body in chunks, without a length. */
  readonly isChunked?: boolean;
  /** Headers besides those that callers always send. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Keeps the caller's connections; a new connection by default. */
  readonly agent?: http.Agent;
  /** Time until the caller closes its connection; never by default. */
  readonly abortAfterMs?: number;
}

let requestCount = 0;

/**
 * Sends one request, on a new connection unless the request names an agent.
 *
 * @param address - caller address of a VM
 * @param request - what to send
 * @returns the response; status 0 if the connection fails or ends early
 */
export function sendRequest(
  address: SocketAddress,
  request: CallerRequest,
): Promise<CallerResponse> {
  requestCount += 1;
  const body = request.body ?? "";
  return new Promise((resolve) => {
    const call = http.request({
      host: address.host,
      port: address.port,
      path: request.path,
      method: request.method ?? "GET",
      agent: request.agent ?? false,
      headers: {
        host: request.host ?? "bands.example",
        [PROTOCOL_HEADER.requestId]: request.id ?? `request-${requestCount}`,
        [PROTOCOL_HEADER.timeLeftMs]: request.timeLeftMs ?? 3_000,
        ...request.key === undefined
          ? {}
          : { [PROTOCOL_HEADER.callerKey]: request.key },
        ...request.headers,
        ...buildBodyHeaders(body, request.isChunked === true),
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
    if (request.abortAfterMs !== undefined) {
      const timer = setTimeout(() => call.destroy(), request.abortAfterMs);
      call.on("close", () => {
        clearTimeout(timer);
      });
    }
    call.end(body);
  });
}

function buildBodyHeaders(
  body: string,
  isChunked: boolean,
): http.OutgoingHttpHeaders {
  if (isChunked) {
    return { "transfer-encoding": "chunked" };
  }
  return body === "" ? {} : { "content-length": Buffer.byteLength(body) };
}

/**
 * Sends a readiness probe to a VM.
 *
 * @param address - where the VM serves readiness probes
 * @returns true if the VM answers 200
 */
export async function probeReadiness(
  address: SocketAddress,
): Promise<boolean> {
  const response = await sendRequest(address, {
    path: PROTOCOL_PATH.readiness,
  });
  return response.status === STATUS_OK;
}

/**
 * Asks a VM's directory which addresses callers of a zone should use.
 *
 * @param address - where the directory listens
 * @param zone - the caller's zone
 * @returns the addresses, preferred first; empty unless the VM answers 200
 */
export async function resolveAddresses(
  address: SocketAddress,
  zone: string,
): Promise<readonly string[]> {
  const query = `name=bands.example&region=r&zone=${zone}`;
  const path = `${PROTOCOL_PATH.directory}?${query}`;
  const response = await sendRequest(address, { path });
  if (response.status !== STATUS_OK) {
    return [];
  }
  const document = JSON.parse(response.body) as { addresses: string[] };
  return document.addresses;
}
