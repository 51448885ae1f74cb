/** Codec of the records that keep requests which crash servers on the store. */

import {
  type Suspicion,
  SUSPICION_STATUS,
} from "@limpetford/core/quarantine/suspicion";
import * as z from "zod";

/** A stored suspicion. */
export interface StoredSuspicion {
  readonly suspicion: Suspicion;
  /** Wall-clock time at which it was written, in milliseconds. */
  readonly writtenAtMs: number;
}

/** Clock readings of the VM that encodes or decodes a record. */
export interface CodecClock {
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** Wall-clock time, in milliseconds. */
  readonly wallMs: number;
}

const recordSchema = z.object({
  generation: z.number().int().nonnegative(),
  status: z.enum(SUSPICION_STATUS),
  runs: z.array(z.object({
    id: z.string(),
    server: z.string(),
    ranMs: z.number(),
    crashedAtWallMs: z.number(),
    wasServerRunning: z.boolean().optional(),
    wasGivenUp: z.boolean().optional(),
    wasAmidOthers: z.boolean().optional(),
  })),
  writtenAtMs: z.number(),
});

/**
 * Encodes a suspicion.
 *
 * @param suspicion - knowledge about one request
 * @param clock - readings of this VM's clocks
 * @returns the value of the record; its key is the fingerprint
 */
export function encodeSuspicion(
  { generation, status, runs }: Suspicion,
  { nowMs, wallMs }: CodecClock,
): Buffer {
  return Buffer.from(JSON.stringify({
    generation,
    status,
    runs: runs.map(({ crashedAtMs, ...run }) => ({
      ...run,
      crashedAtWallMs: Math.round(wallMs - (nowMs - crashedAtMs)),
    })),
    writtenAtMs: wallMs,
  }));
}

/**
 * Decodes a suspicion.
 *
 * @param fingerprint - key of the record
 * @param value - value of the record
 * @param clock - readings of this VM's clocks
 * @returns the suspicion; undefined if the value is not one
 */
export function decodeSuspicion(
  fingerprint: string,
  value: Buffer,
  { nowMs, wallMs }: CodecClock,
): StoredSuspicion | undefined {
  let document: unknown;
  try {
    document = JSON.parse(value.toString("utf8"));
  } catch {
    return undefined;
  }
  const parsed = recordSchema.safeParse(document);
  if (!parsed.success) {
    return undefined;
  }
  const { generation, status, runs, writtenAtMs } = parsed.data;
  return {
    suspicion: {
      fingerprint,
      generation,
      status,
      // Clocks of VMs differ; no crash lies in the future.
      runs: runs.map(({ crashedAtWallMs, ...run }) => ({
        ...run,
        crashedAtMs: nowMs - Math.max(0, wallMs - crashedAtWallMs),
      })),
    },
    writtenAtMs,
  };
}
