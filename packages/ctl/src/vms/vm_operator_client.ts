/** Client for the HTTP operator endpoints of VMs. */

import type { Result } from "@limpetford/domain/result";
import { makeError, makeOk } from "@limpetford/domain/result";
import type { SocketAddress } from "@limpetford/domain/vm";
import { formatAddress } from "@limpetford/domain/vm";
import { request } from "undici";

/**
 * Error of a call: `vm-away` if there was no usable response, `vm-refused` if
 * the VM responded with an HTTP error status.
 */
export interface VmCallError {
  readonly kind: "vm-away" | "vm-refused";
  readonly cause: string;
}

/** An HTTP request to the operator endpoint of a VM. */
export interface VmCall {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
}

/** The response of one VM, or the error of the call. */
export interface VmReply {
  readonly address: SocketAddress;
  readonly result: Result<unknown, VmCallError>;
}

/**
 * Sends operator requests to VMs.
 */
export abstract class VmOperatorClient {
  /**
   * Sends a request to one VM.
   *
   * @param address - operator address of the VM
   * @param call - method, path and body of the request
   * @returns the parsed JSON response, or the error of the call
   */
  abstract send(
    address: SocketAddress,
    call: VmCall,
  ): Promise<Result<unknown, VmCallError>>;

  /**
   * Sends a request to many VMs, in batches of up to 32 concurrent calls.
   *
   * @param addresses - operator addresses of the VMs
   * @param call - method, path and body of the request
   * @returns one reply per address, in the order of the addresses
   */
  async sendToAll(
    addresses: readonly SocketAddress[],
    call: VmCall,
  ): Promise<readonly VmReply[]> {
    const replies: VmReply[] = [];
    for (
      let start = 0;
      start < addresses.length;
      start += MAX_CONCURRENT_CALLS
    ) {
      const group = addresses.slice(start, start + MAX_CONCURRENT_CALLS);
      replies.push(
        ...await Promise.all(group.map(async (address) => ({
          address,
          result: await this.send(address, call),
        }))),
      );
    }
    return replies;
  }
}

const MAX_CONCURRENT_CALLS = 32;
const FIRST_ERROR_STATUS = 400;

/**
 * Sends operator requests over HTTP, with a new connection for each.
 */
export class HttpVmOperatorClient extends VmOperatorClient {
  readonly #timeoutMs: number;

  /**
   * Creates a client.
   *
   * @param timeoutMs - timeout of one call, in milliseconds
   */
  constructor(timeoutMs: number) {
    super();
    this.#timeoutMs = timeoutMs;
  }

  override async send(
    address: SocketAddress,
    call: VmCall,
  ): Promise<Result<unknown, VmCallError>> {
    try {
      const response = await request(
        `http://${formatAddress(address)}${call.path}`,
        {
          method: call.method,
          headers: { "content-type": "application/json" },
          body: call.body === undefined ? null : JSON.stringify(call.body),
          signal: AbortSignal.timeout(this.#timeoutMs),
          reset: true,
        },
      );
      const text = await response.body.text();
      if (response.statusCode >= FIRST_ERROR_STATUS) {
        const cause = `status ${response.statusCode}`;
        return makeError({ kind: "vm-refused", cause });
      }
      return makeOk(JSON.parse(text) as unknown);
    } catch (error) {
      const cause = error instanceof Error ? error.message : String(error);
      return makeError({ kind: "vm-away", cause });
    }
  }
}
