/** Buffers the start of a response before it is forwarded. */

import type { ServingDialect } from "../dialect/serving_dialect.ts";
import type { ResponseHead } from "./attempt_listener.ts";
import type { MemoryShare } from "./memory_budget.ts";
import type { Refusal } from "./refusal.ts";
import { ResponseReceiver } from "./response_receiver.ts";

/**
 * Buffers a response up to a number of bytes. As long as nothing has been
 * forwarded, a truncated response can be replaced by that of another attempt.
 * Nothing more is buffered while the VM holds more than it may.
 */
export class BufferingReceiver extends ResponseReceiver {
  readonly #receiver: ResponseReceiver;
  readonly #limitBytes: number;
  readonly #share: MemoryShare;
  #head: ResponseHead | undefined;
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;

  /**
   * Prepares to buffer one response.
   *
   * @param receiver - receives the response after it has been buffered
   * @param limitBytes - maximum size of the buffered body
   * @param share - share of the request, which the buffered body counts for
   */
  constructor(
    receiver: ResponseReceiver,
    limitBytes: number,
    share: MemoryShare,
  ) {
    super();
    this.#share = share;
    this.#receiver = receiver;
    this.#limitBytes = limitBytes;
  }

  override receiveHead(head: ResponseHead): void {
    this.#head = head;
  }

  override receiveChunk(chunk: Buffer): boolean {
    if (this.#head === undefined) {
      return this.#receiver.receiveChunk(chunk);
    }
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
    this.#share.add(chunk.length);
    if (
      this.#bufferedBytes <= this.#limitBytes && !this.#share.isBudgetExceeded
    ) {
      return true;
    }
    this.#receiver.receiveHead(this.#head);
    const buffered = this.#takeBuffer();
    return this.#receiver.receiveChunk(buffered);
  }

  override receiveEnd(last: Buffer | undefined): void {
    if (this.#head === undefined) {
      this.#receiver.receiveEnd(last);
      return;
    }
    if (last !== undefined) {
      this.#chunks.push(last);
      this.#bufferedBytes += last.length;
      this.#share.add(last.length);
    }
    const head = this.#head;
    this.#receiver.receiveWhole(head, this.#takeBuffer());
  }

  override receiveCut(): void {
    this.#receiver.receiveCut();
  }

  override receiveRefusal(refusal: Refusal): void {
    this.#receiver.receiveRefusal(refusal);
  }

  override dropResponse(): boolean {
    const isBuffered = this.#head !== undefined;
    this.#takeBuffer();
    return isBuffered;
  }

  #takeBuffer(): Buffer {
    const body = Buffer.concat(this.#chunks);
    this.#head = undefined;
    this.#chunks = [];
    this.#share.add(-this.#bufferedBytes);
    this.#bufferedBytes = 0;
    return body;
  }
}

/**
 * Puts a buffer before a receiver, if the dialect asks for one.
 *
 * @param receiver - receives the response
 * @param dependencies - dialect, which names the size of the buffered body (0 for
 * no buffer), and the share of the request
 * @returns the receiver to use in its place
 */
export function buildBufferedReceiver(
  receiver: ResponseReceiver,
  { dialect, memory }: {
    readonly dialect: Pick<ServingDialect, "bufferedResponseBytes">;
    readonly memory: MemoryShare;
  },
): ResponseReceiver {
  const { bufferedResponseBytes } = dialect;
  return bufferedResponseBytes > 0
    ? new BufferingReceiver(receiver, bufferedResponseBytes, memory)
    : receiver;
}
