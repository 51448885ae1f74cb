/** Contract for trace spans of a request's hops. */

/**
 * Hop that a span covers: from the caller to this VM (`entry`), to another VM
 * (`peer`) or to a backend server (`backend`).
 */
export type HopName = "entry" | "peer" | "backend";

/** An open span. */
export interface HopSpan {
  /** `traceparent` header for the next hop; undefined for none. */
  readonly traceparent: string | undefined;
  /**
   * Closes the span.
   *
   * @param status - HTTP status, or undefined if there was none
   */
  close(status: number | undefined): void;
}

/** Attributes of a span that are known when the hop starts. */
export interface HopStart {
  readonly requestId: string;
  readonly method: string;
  /** Name of the route; the request target is never recorded. */
  readonly route: string;
  /** Address of the VM or name of the backend server that is called. */
  readonly peer?: string;
}

/**
 * Opens spans. The base class records nothing and forwards the caller's
 * `traceparent` unchanged.
 */
export class SpanRecorder {
  /**
   * Opens a span for a hop.
   *
   * @param _hop - hop that the span covers
   * @param parent - `traceparent` header of the previous hop
   * @param _start - attributes of the span
   * @returns open span, to be closed at the end of the hop
   */
  open(
    _hop: HopName,
    parent: string | undefined,
    _start: HopStart,
  ): HopSpan {
    return { traceparent: parent, close: closeNothing };
  }

  /** Exports buffered spans and stops recording. */
  async close(): Promise<void> {
    await Promise.resolve();
  }
}

function closeNothing(): void {
  return;
}
