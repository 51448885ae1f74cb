/** Transfers the configuration state between VMs in compressed parts. */

import { gunzipSync, gzipSync } from "node:zlib";

import {
  buildCheckpoint,
  type ConfigurationState,
  restoreCheckpoint,
} from "@limpetford/core/configuration/configuration_fold";
import {
  decodeConfigurationRecord,
  encodeConfigurationRecord,
} from "@limpetford/domain/configuration_codec";
import type {
  FetchConfigurationReply,
  FetchConfigurationRequest,
} from "@limpetford/peer/generated/membership";

const PART_BYTES = 1_048_576;
const MAX_PARTS = 64;
const NO_OFFSET = -1;

/** Fetches one part from another VM; undefined if the call failed. */
export type PartFetcher = (
  request: FetchConfigurationRequest,
) => Promise<FetchConfigurationReply | undefined>;

/**
 * Builds replies to other VMs. Caches the encoding of the newest state, so that
 * it is compressed once for all parts and all VMs.
 */
export class ConfigurationEncoder {
  #encoded = Buffer.alloc(0);
  #nextOffset = NO_OFFSET;

  /**
   * Builds the reply to a request.
   *
   * @param request - next offset of the other VM and the requested part
   * @param state - newest state of this VM
   * @returns the part; a part count of 0 if the state is not newer than that of
   *   the other VM
   */
  buildReply(
    request: FetchConfigurationRequest,
    state: ConfigurationState,
  ): FetchConfigurationReply {
    if (state.nextOffset <= request.nextOffset) {
      return { partCount: 0, nextOffset: 0, content: Buffer.alloc(0) };
    }
    if (state.nextOffset !== this.#nextOffset) {
      const record = encodeConfigurationRecord(buildCheckpoint(state));
      this.#encoded = gzipSync(record);
      this.#nextOffset = state.nextOffset;
    }
    const start = request.part * PART_BYTES;
    return {
      partCount: Math.ceil(this.#encoded.length / PART_BYTES),
      nextOffset: state.nextOffset,
      content: this.#encoded.subarray(start, start + PART_BYTES),
    };
  }
}

/**
 * Fetches the state of another VM, part by part.
 *
 * @param nextOffset - first log offset that this VM has not applied
 * @param fetchPart - fetches a part from the other VM
 * @returns the state; undefined if it is not newer, if it changed during the
 *   transfer, or if a call failed
 */
export async function fetchState(
  nextOffset: number,
  fetchPart: PartFetcher,
): Promise<ConfigurationState | undefined> {
  const parts: Uint8Array[] = [];
  let partCount = 1;
  let stateOffset: number | undefined;
  for (let part = 0; part < partCount && part < MAX_PARTS; part += 1) {
    const reply = await fetchPart({ nextOffset, part });
    stateOffset ??= reply?.nextOffset;
    if (
      reply === undefined || reply.partCount === 0 ||
      reply.nextOffset !== stateOffset
    ) {
      return undefined;
    }
    partCount = reply.partCount;
    parts.push(reply.content);
  }
  return decodeState(Buffer.concat(parts));
}

function decodeState(encoded: Buffer): ConfigurationState | undefined {
  let payload: Uint8Array;
  try {
    payload = gunzipSync(encoded);
  } catch {
    return undefined;
  }
  const record = decodeConfigurationRecord(payload);
  return record.ok && record.value.kind === "checkpoint"
    ? restoreCheckpoint(record.value, NO_OFFSET)
    : undefined;
}
