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
