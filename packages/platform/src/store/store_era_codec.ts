/** Codec of the record that says in which era the store is complete. */

import * as z from "zod";

/** Key of the record in the topic of the VMs. */
export const STORE_ERA_KEY = "store-era-complete";

const recordSchema = z.object({ era: z.number().int().nonnegative() });

/**
 * Encodes the record.
 *
 * @param era - era in which the store has got back what it had lost
 * @returns value of the record
 */
export function encodeStoreEra(era: number): Buffer {
  return Buffer.from(JSON.stringify({ era }));
}

/**
 * Decodes the record.
 *
 * @param value - value of the record
 * @returns the era; undefined if the value is not one
 */
export function decodeStoreEra(value: Buffer): number | undefined {
  let document: unknown;
  try {
    document = JSON.parse(value.toString("utf8"));
  } catch {
    return undefined;
  }
  const parsed = recordSchema.safeParse(document);
  return parsed.success ? parsed.data.era : undefined;
}
