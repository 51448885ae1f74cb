/** Reads request bodies into memory within size and time limits. */

import type { IncomingMessage } from "node:http";

import { makeError, makeOk, type Result } from "@limpetford/domain/result";

import type { MemoryShare } from "./memory_budget.ts";
import { PendingBody } from "./pending_body.ts";
import { type Refusal, refuseNotRun } from "./refusal.ts";

/** Limits the memory that buffered request bodies take on one VM. */
export class BodyBudget {
  readonly #limitBytes: number;
  #reservedBytes = 0;

  /**
   * Starts with nothing reserved.
   *
   * @param limitBytes - maximum sum of reserved bytes
   */
  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /**
   * Memory that is reserved at the moment.
   *
   * @returns bytes
   */
  get reservedBytes(): number {
    return this.#reservedBytes;
  }

  /**
   * Reserves memory.
   *
   * @param bytes - number of bytes
   * @returns false if the limit would be exceeded; nothing is reserved then
   */
  reserve(bytes: number): boolean {
    if (this.#reservedBytes + bytes > this.#limitBytes) {
      return false;
    }
    this.#reservedBytes += bytes;
    return true;
  }

  /**
   * Releases reserved memory.
   *
   * @param bytes - number of bytes
   */
  release(bytes: number): void {
    this.#reservedBytes -= bytes;
  }
}

/** A buffered body and the memory that is reserved for it. */
export interface BufferedBody {
  /** Undefined if the request has no body. */
  readonly bytes: Buffer | undefined;
  /** To be released from the `BodyBudget` when the body is discarded. */
  readonly reservedBytes: number;
}

/** Limits for reading a body. */
export interface BodyReadOptions {
  /** Maximum size of the body. */
  readonly limitBytes: number;
  /** Time until the body must be complete, in milliseconds. */
  readonly timeoutMs: number;
  readonly budget: BodyBudget;
  /** Share of the request, which counts the body already if its length is known. */
  readonly memory: MemoryShare;
}

/** Result for a request without a body. */
export const NO_BODY: BufferedBody = { bytes: undefined, reservedBytes: 0 };

/**
 * Checks whether the headers of a request announce a body.
 *
 * @param request - request whose body has not been read
 * @returns true if a body follows the headers
 */
export function hasBody(request: IncomingMessage): boolean {
  const length = request.headers["content-length"];
  return request.headers["transfer-encoding"] !== undefined ||
    (length !== undefined && length !== "0");
}

/**
 * Reads the length of a body from the `Content-Length` header.
 *
 * @param request - request whose body has not been read
 * @returns bytes; undefined if the header is absent
 */
export function readBodyLength(request: IncomingMessage): number | undefined {
  const length = request.headers["content-length"];
  return length === undefined ? undefined : Number(length);
}

/**
 * Reads a complete body into memory.
 *
 * @param request - request whose body has not been read
 * @param options - size limit, timeout and memory budget
 * @returns the body, or a refusal if a limit was exceeded or the caller
 * disconnected
 */
export function readBody(
  request: IncomingMessage,
  options: BodyReadOptions,
): Promise<Result<BufferedBody, Refusal>> {
  const { limitBytes, budget, memory } = options;
  const announced = readBodyLength(request);
  if (announced !== undefined && announced > limitBytes) {
    return Promise.resolve(makeError(refuseNotRun("body-too-large")));
  }
  if (announced !== undefined && !budget.reserve(announced)) {
    return Promise.resolve(makeError(refuseNotRun("vm-busy")));
  }
  return new Promise((resolve) => {
    const blocks: Buffer[] = [];
    const pending = new PendingBody();
    let receivedBytes = 0;
    let reservedBytes = announced ?? 0;
    const timer = setTimeout(() => {
      complete("body-too-slow");
    }, options.timeoutMs);
    const handleChunk = (chunk: Buffer): void => {
      receivedBytes += chunk.length;
      const unreservedBytes = Math.max(0, receivedBytes - reservedBytes);
      if (receivedBytes > limitBytes) {
        complete("body-too-large");
      } else if (
        unreservedBytes > 0 &&
        (!memory.reserve(unreservedBytes) || !budget.reserve(unreservedBytes))
      ) {
        complete("vm-busy");
      } else {
        reservedBytes = Math.max(reservedBytes, receivedBytes);
        const block = pending.add(chunk);
        if (block !== undefined) {
          blocks.push(block);
        }
      }
    };
    const handleEnd = (): void => {
      complete(undefined);
    };
    const handleClose = (): void => {
      complete("malformed-request");
    };
    function complete(problem: Refusal["kind"] | undefined): void {
      clearTimeout(timer);
      request.off("data", handleChunk);
      request.off("end", handleEnd);
      request.off("close", handleClose);
      if (problem === undefined) {
        const last = pending.take();
        const bytes = blocks.length === 0
          ? last ?? Buffer.alloc(0)
          : Buffer.concat(last === undefined ? blocks : [...blocks, last]);
        resolve(makeOk({ bytes, reservedBytes }));
        return;
      }
      budget.release(reservedBytes);
      request.pause();
      resolve(makeError(refuseNotRun(problem)));
    }
    request.on("data", handleChunk);
    request.on("end", handleEnd);
    request.on("close", handleClose);
  });
}
