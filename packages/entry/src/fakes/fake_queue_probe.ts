/** A probe of the accept queue that is not connected. */

import { type Duplex, PassThrough } from "node:stream";

import { QueueProbe } from "../vm/queue_probe.ts";

/** Waits in a queue from a given time on. */
export class FakeQueueProbe extends QueueProbe {
  readonly otherEnd: Duplex = new PassThrough();
  override readonly queuedAtMs: number;
  override isClosed = false;

  /**
   * Creates a probe that is in the queue.
   *
   * @param queuedAtMs - since when, in monotonic milliseconds
   */
  constructor(queuedAtMs: number) {
    super();
    this.queuedAtMs = queuedAtMs;
  }

  override isOtherEnd(socket: Duplex): boolean {
    return socket === this.otherEnd;
  }

  override close(): void {
    this.isClosed = true;
  }
}
