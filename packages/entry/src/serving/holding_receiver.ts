/** Reads an answer before any of it is passed on. */

import { AnswerReceiver } from "./response_receiver.ts";
import type { ResponseHead } from "./backend_attempt.ts";
import type { Refusal } from "./refusal.ts";

/**
 * Holds an answer up to a number of bytes. As long as nothing has been passed
 * on, a broken answer can be replaced by that of another attempt.
 */
export class HoldingReceiver extends AnswerReceiver {
  readonly #receiver: AnswerReceiver;
  readonly #limitBytes: number;
  #head: ResponseHead | undefined;
  #chunks: Buffer[] = [];
  #heldBytes = 0;

  /**
   * Prepares to hold an answer.
   *
   * @param receiver - gets the answer
   * @param limitBytes - bytes of the body to hold
   */
  constructor(receiver: AnswerReceiver, limitBytes: number) {
    super();
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
    this.#heldBytes += chunk.length;
    if (this.#heldBytes <= this.#limitBytes) {
      return true;
    }
    this.#receiver.receiveHead(this.#head);
    const held = this.#takeHeld();
    return this.#receiver.receiveChunk(held);
  }

  override receiveEnd(last: Buffer | undefined): void {
    if (this.#head === undefined) {
      this.#receiver.receiveEnd(last);
      return;
    }
    if (last !== undefined) {
      this.#chunks.push(last);
      this.#heldBytes += last.length;
    }
    this.#receiver.receiveHead(this.#head);
    const body = this.#takeHeld();
    this.#receiver.receiveEnd(body.length === 0 ? undefined : body);
  }

  override receiveCut(): void {
    this.#receiver.receiveCut();
  }

  override receiveRefusal(refusal: Refusal): void {
    this.#receiver.receiveRefusal(refusal);
  }

  override resetAnswer(): boolean {
    const isHeld = this.#head !== undefined;
    this.#takeHeld();
    return isHeld;
  }

  #takeHeld(): Buffer {
    const body = Buffer.concat(this.#chunks);
    this.#head = undefined;
    this.#chunks = [];
    this.#heldBytes = 0;
    return body;
  }
}
