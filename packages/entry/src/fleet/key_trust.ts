/** How long keys are accepted without a new proof of the configuration. */

/**
 * Share of the time within which a withdrawn key must stop working. No key that
 * was withdrawn after the last proof is older than that; the rest is for clocks
 * of VMs that stood still for a moment unnoticed.
 */
const KEYS_TRUSTED_SHARE = 0.9;

/**
 * Computes the age of the configuration up to which keys are accepted.
 *
 * @param revocationMs - time within which a withdrawn key must stop working
 * @returns milliseconds since the configuration was last known to be the newest
 */
export function computeKeysTrustedMs(revocationMs: number): number {
  return revocationMs * KEYS_TRUSTED_SHARE;
}
