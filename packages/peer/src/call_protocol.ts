/** Paths, headers and message schemas of the calls between VMs. */

import type * as z from "zod";

import { COMPRESSED_ENCODING } from "./message_codec.ts";
import {
  EMPTY_REPLY_SCHEMA,
  EVIDENCE_SCHEMA,
  SERVER_LIMIT_REPORT_SCHEMA,
  SERVER_TOKEN_REPLY_SCHEMA,
  SERVER_TOKEN_REQUEST_SCHEMA,
  SYNC_MESSAGE_SCHEMA,
  TOKEN_REPLY_SCHEMA,
  TOKEN_REQUEST_SCHEMA,
} from "./message_schemas.ts";

/** Path of each call. */
export const PATH = {
  exchange: "/exchange",
  evidence: "/evidence",
  token: "/token",
  serverToken: "/server-token",
  serverLimit: "/server-limit",
} as const;
/** One of the paths in `PATH`. */
export type CallPath = typeof PATH[keyof typeof PATH];
/**
 * Schema of each request. A message of another form would throw later, in timers and
 * for other callers.
 */
export const REQUEST_SCHEMAS: Readonly<Record<CallPath, z.ZodType>> = {
  [PATH.exchange]: SYNC_MESSAGE_SCHEMA,
  [PATH.evidence]: EVIDENCE_SCHEMA,
  [PATH.token]: TOKEN_REQUEST_SCHEMA,
  [PATH.serverToken]: SERVER_TOKEN_REQUEST_SCHEMA,
  [PATH.serverLimit]: SERVER_LIMIT_REPORT_SCHEMA,
};
/** Schema of each reply. */
export const REPLY_SCHEMAS: Readonly<Record<CallPath, z.ZodType>> = {
  [PATH.exchange]: SYNC_MESSAGE_SCHEMA,
  [PATH.evidence]: EMPTY_REPLY_SCHEMA,
  [PATH.token]: TOKEN_REPLY_SCHEMA,
  [PATH.serverToken]: SERVER_TOKEN_REPLY_SCHEMA,
  [PATH.serverLimit]: EMPTY_REPLY_SCHEMA,
};
/** Header that names the encoding of a message. */
export const ENCODING_HEADER = "content-encoding";
/** Header that names the encoding in which a reply is understood. */
export const ACCEPTED_HEADER = "accept-encoding";
/** Header of a caller's request that another VM forwards. */
export const FORWARDED_HEADER = "limpetford-forwarded";
/** Status of a reply that has a message. */
export const STATUS_OK = 200;

/**
 * Checks whether a message is compressed.
 *
 * @param headers - headers of the request or of the response
 * @returns true if it is
 */
export function isCompressed(
  headers: Readonly<Record<string, unknown>>,
): boolean {
  return headers[ENCODING_HEADER] === COMPRESSED_ENCODING;
}

/** Receives what is thrown in a call; only the call ends. */
export type CallExceptionHandler = (error: unknown) => void;

/** Drops what is thrown in a call. */
export function dropException(): void {
  return;
}
