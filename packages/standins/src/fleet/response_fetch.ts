/** Callers that tell whether a response is whole, and a response without a length. */

import * as http from "node:http";

import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import { CALLER_PORT } from "./fleet_processes.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

/** Key of the team in whose name these callers send. */
export const FETCH_KEY = "key-of-dance";
const TIME_LEFT_MS = 4_000;

/** What a caller has received when its connection ends. */
export interface ReceivedResponse {
  /** 0 without a response. */
  readonly status: number;
  readonly bytes: number;
  /** True if the message is complete by its own framing. */
  readonly isComplete: boolean;
}

const NO_RESPONSE: ReceivedResponse = {
  status: 0,
  bytes: 0,
  isComplete: false,
};

/** What differs from a caller that sends a GET and reads at once. */
export interface FetchOptions {
  readonly method?: string;
  /** Time for which the caller reads nothing after the head. */
  readonly stallMs?: number;
  /** Called with the head of the response. */
  readonly handleHead?: () => void;
}

/**
 * Sends a request on a connection of its own.
 *
 * @param vm - VM that receives it
 * @param path - path of the request, which is its identifier too
 * @param options - method and pace of the caller
 * @returns what has come when the connection ends
 */
export function fetchResponse(
  vm: VmProcessHandle,
  path: string,
  { method = "GET", stallMs = 0, handleHead }: FetchOptions = {},
): Promise<ReceivedResponse> {
  return new Promise((resolve) => {
    const request = http.request({
      host: vm.host,
      port: CALLER_PORT,
      path,
      method,
      agent: false,
      headers: {
        host: "bands.example",
        [PROTOCOL_HEADER.callerKey]: FETCH_KEY,
        [PROTOCOL_HEADER.requestId]: path,
        [PROTOCOL_HEADER.timeLeftMs]: TIME_LEFT_MS,
      },
    }, (response) => {
      let bytes = 0;
      handleHead?.();
      setTimeout(() => {
        response.on("data", (chunk: Buffer) => bytes += chunk.length);
      }, stallMs);
      response.on("error", () => undefined);
      response.on("close", () => {
        const { statusCode: status = 0, complete: isComplete } = response;
        resolve({ status, bytes, isComplete });
      });
    });
    request.on("error", () => {
      resolve(NO_RESPONSE);
    });
    request.end();
  });
}

/**
 * Builds a signed response whose body ends with the connection.
 *
 * @param id - identifier of the request
 * @param body - the body
 * @returns the bytes of the response
 */
export function buildUnsizedResponse(id: string, body: string): string {
  return `HTTP/1.1 200 OK\r\n${PROTOCOL_HEADER.requestId}: ${id}\r\n` +
    `${PROTOCOL_HEADER.signature}: s\r\n\r\n${body}`;
}
