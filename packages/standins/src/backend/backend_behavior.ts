/** Ways in which the backend server stand-in handles a request. */

/** Runs the request and sends a complete, well-formed response. */
export interface CompleteResponseBehavior {
  readonly kind: "answer";
  /** Default 200. */
  readonly status?: number;
  /** Default `whole answer`. */
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Delay before the response is sent; default none. */
  readonly delayMs?: number;
  /** Uses chunked transfer encoding instead of a content length. */
  readonly isChunked?: boolean;
}

/** Runs the request and sends a malformed, truncated or duplicate response. */
export type MalformedResponseBehavior =
  /** Sends fewer bytes than the content length, then closes. */
  | { readonly kind: "short-length" }
  /** Sends more bytes than the content length. */
  | { readonly kind: "long-length" }
  /** Closes the connection in the middle of a chunked body. */
  | { readonly kind: "cut-chunked" }
  /** As `cut-chunked`, with `connection: close` in the headers. */
  | { readonly kind: "cut-chunked-closing" }
  /** Resets the connection in the middle of the body. */
  | { readonly kind: "reset-in-body" }
  /** Sends a body without a length that ends when the connection closes. */
  | { readonly kind: "unframed" }
  /** Sends two responses at once. */
  | { readonly kind: "two-answers" }
  /** Sends a second response `delayMs` after the first. */
  | { readonly kind: "late-second-answer"; readonly delayMs: number }
  /** Sends bytes that are not HTTP. */
  | { readonly kind: "garbage" }
  /** Sends a header of 1 MB and never ends it. */
  | { readonly kind: "huge-headers" }
  /** Sends part of the body, then nothing more. */
  | { readonly kind: "stall-in-body" };

/** How the stand-in handles one request. */
export type BackendBehavior =
  | CompleteResponseBehavior
  | MalformedResponseBehavior
  /** Sheds load: answers 503 and states that the request was not run. */
  | { readonly kind: "shed" }
  /** Runs the request and answers 503 without stating that it ran. */
  | { readonly kind: "plain-unavailable" }
  /** Runs the request and never answers. */
  | { readonly kind: "hang" }
  /** Runs the request and resets the connection. */
  | { readonly kind: "reset" }
  /** Runs the request and closes the connection without a response. */
  | { readonly kind: "close" }
  /** Answers with the attempt identifier of another request. */
  | { readonly kind: "foreign-echo" }
  /** Answers with the attempt identifier of the request. */
  | { readonly kind: "own-echo" }
  /** Stops listening and closes all connections, like a crashed process. */
  | { readonly kind: "crash" }
  /** Sends a body of the given size. */
  | { readonly kind: "large"; readonly bytes: number };

/** A request as the stand-in received it. */
export interface ReceivedRequest {
  readonly method: string;
  readonly target: string;
  /** Alternating names and values, in the order and case sent. */
  readonly rawHeaders: readonly string[];
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly trailers: Readonly<Record<string, string | undefined>>;
  readonly body: Buffer;
}
