/** Digests that identify identical requests. */

import * as crypto from "node:crypto";

import type { RequestContext } from "../ports/request_context.ts";

const SEPARATOR = "\n";

/**
 * Computes the digest of a request's method, target and body.
 *
 * @param context - method and target of the request
 * @param body - buffered body; undefined if there is none or it is streamed
 * @returns SHA-256 in hexadecimal digits
 */
export function computeFingerprint(
  context: RequestContext,
  body: Buffer | undefined,
): string {
  const digest = crypto.createHash("sha256");
  digest.update(context.method + SEPARATOR + context.target + SEPARATOR);
  if (body !== undefined) {
    digest.update(body);
  }
  return digest.digest("hex");
}

/** What identifies a request to backend servers, whoever forwards it. */
export interface RequestIdentity {
  readonly context: RequestContext;
  /** Buffered body; undefined if there is none or it is streamed. */
  readonly body: Buffer | undefined;
  /** Length of a streamed body in bytes; undefined if it is not streamed. */
  readonly streamedBytes: number | undefined;
}

/**
 * Computes the digest that tells whether a caller sends the same request again.
 * It covers the team, so that no team's requests are mistaken for another's. A
 * streamed body is identified by its length, since it is not kept.
 *
 * @param identity - the request and its body
 * @returns SHA-256 in hexadecimal digits
 */
export function computeRepeatFingerprint(
  { context, body, streamedBytes }: RequestIdentity,
): string {
  const digest = crypto.createHash("sha256");
  digest.update(JSON.stringify([
    context.team ?? null,
    context.host ?? null,
    streamedBytes ?? null,
  ]));
  digest.update(SEPARATOR + computeFingerprint(context, body));
  return digest.digest("hex");
}
