/** API key that a caller presents. */

import * as crypto from "node:crypto";

import { type KeyHash, toId } from "@limpetford/domain/ids";

const BEARER_PREFIX = /^bearer +/i;

/** An API key and its hash. It is not kept longer than its request. */
export interface PresentedKey {
  readonly secret: string;
  readonly hash: KeyHash;
}

/**
 * Parses the value of the `Authorization` header.
 *
 * @param authorization - value of the header
 * @returns the API key, or undefined if there is no bearer token
 */
export function parseCallerKey(
  authorization: string | undefined,
): PresentedKey | undefined {
  if (authorization === undefined) {
    return undefined;
  }
  const prefix = BEARER_PREFIX.exec(authorization);
  if (prefix === null) {
    return undefined;
  }
  const secret = authorization.slice(prefix[0].length).trim();
  return secret === "" ? undefined : { secret, hash: hashCallerKey(secret) };
}

/**
 * Hashes an API key the way the configuration stores it.
 *
 * @param secret - API key in plain text
 * @returns its SHA-256 in lower-case hexadecimal digits
 */
export function hashCallerKey(secret: string): KeyHash {
  return toId<KeyHash>(crypto.hash("sha256", secret, "hex"));
}

/**
 * Checks whether a text contains an API key, as it is or percent-encoded.
 *
 * @param text - text to search
 * @param secret - API key in plain text
 * @returns true if the text contains the key
 */
export function hasCallerKey(text: string, secret: string): boolean {
  if (text.includes(secret)) {
    return true;
  }
  return text.includes("%") && decodeLeniently(text).includes(secret);
}

function decodeLeniently(text: string): string {
  return text.replace(
    /%([0-9a-f]{2})/gi,
    (_match, digits: string) =>
      String.fromCharCode(Number.parseInt(digits, 16)),
  );
}
