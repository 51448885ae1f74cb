/** Generates and hashes API keys of callers. Only the hash is stored. */

import { createHash } from "node:crypto";

import type { KeyHash } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";

const KEY_PREFIX = "limpet_";

/** Number of random bytes in an API key. */
export const KEY_BYTES = 32;

/**
 * Formats random bytes as an API key.
 *
 * @param bytes - cryptographically secure random bytes
 * @returns the prefix `limpet_` and the bytes in base64url
 */
export function formatKey(bytes: Uint8Array): string {
  return `${KEY_PREFIX}${Buffer.from(bytes).toString("base64url")}`;
}

/**
 * Computes the hash that identifies a key in the fleet.
 *
 * @param key - API key in plain text
 * @returns SHA-256 in lower-case hexadecimal digits
 */
export function hashKey(key: string): KeyHash {
  return toId<KeyHash>(createHash("sha256").update(key).digest("hex"));
}
