/** Decodes the announcements that backend servers publish on the store. */

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import {
  type ServerId,
  type ServiceId,
  toId,
  type ZoneId,
} from "@limpetford/domain/ids";
import { makeError, makeOk, type Result } from "@limpetford/domain/result";
import { SERVER_STATE } from "@limpetford/domain/service";
import * as z from "zod";

import { parseAddress } from "./address_parser.ts";

const MS_PER_S = 1_000;
/** An identifier is sent in a header. */
const ID_PATTERN = /^[!-~]{1,255}$/;
const MAX_SLOTS = 1_000_000;
const MAX_WARM_UP_S = 86_400;
/** Start of the year 2100; a later start would hide all true ones. */
const MAX_START_MS = 4_102_444_800_000;

const SERVER_STATE_BY_ANNOUNCED_STATE = {
  ready: SERVER_STATE.active,
  draining: SERVER_STATE.leaving,
} as const;

const announcementSchema = z.object({
  service: z.string().min(1),
  address: z.string(),
  zone: z.string().min(1),
  slots: z.number().int().positive().max(MAX_SLOTS),
  state: z.enum(["ready", "draining"]),
  // Not used, but an entry without it is none of a server's.
  version: z.union([z.string().min(1), z.number()]),
  warmup_remaining_s: z.number().nonnegative().max(MAX_WARM_UP_S),
  sequence_number: z.number().int().nonnegative(),
  born: z.number().int().nonnegative().max(MAX_START_MS),
});

/**
 * Decodes one announcement.
 *
 * @param key - key of the record, which is the server's identifier
 * @param bytes - JSON document, the value of the record
 * @returns the announcement, or a description of what is invalid
 */
export function decodeServer(
  key: string,
  bytes: Buffer,
): Result<AnnouncedServer, string> {
  if (!ID_PATTERN.test(key)) {
    return makeError("key is not an identifier");
  }
  let document: unknown;
  try {
    document = JSON.parse(bytes.toString("utf8"));
  } catch (error) {
    return makeError(error instanceof Error ? error.message : String(error));
  }
  const parsed = announcementSchema.safeParse(document);
  if (!parsed.success) {
    return makeError(z.prettifyError(parsed.error));
  }
  const { data } = parsed;
  const address = parseAddress(data.address);
  if (address === undefined) {
    return makeError("address is not of the form IP:PORT");
  }
  return makeOk({
    id: toId<ServerId>(key),
    service: toId<ServiceId>(data.service),
    zone: toId<ZoneId>(data.zone),
    address,
    slots: data.slots,
    state: SERVER_STATE_BY_ANNOUNCED_STATE[data.state],
    warmUpLeftMs: data.warmup_remaining_s * MS_PER_S,
    startedAtMs: data.born,
    sequence: data.sequence_number,
  });
}
