/** Encodes the messages between VMs, compressed where bytes are dear. */

import { deflateRawSync, inflateRawSync } from "node:zlib";

/**
 * Version of the dictionary of compressed messages. A VM sends none to another
 * one that has not told that it reads this version.
 */
export const MESSAGE_CODEC_VERSION = 1;
/** Value of the `content-encoding` header of a compressed message. */
export const COMPRESSED_ENCODING = `limpetford-${MESSAGE_CODEC_VERSION}`;

/** Longest message that is accepted, before and after it is decompressed. */
export const MAX_MESSAGE_BYTES = 4_194_304;
/** Most objects and arrays of a message; each holds far more than its two bytes. */
const MAX_CONTAINERS = 131_072;
const OPENING_BRACE = 0x7b;
const OPENING_BRACKET = 0x5b;

/**
 * Text as it stands in nearly every message. Compression refers to it instead of
 * repeating it; the most frequent parts come last. Another text is another
 * version, since VMs of other builds have this one.
 */
export const MESSAGE_DICTIONARY = Buffer.from(
  [
    '"serverLimits":[{"server":"i-","startedAtMs":17,"requestsPerSecond":',
    '"suspicions":{"rows":[{"fingerprint":"","generation":0,"status":"","runs":[]',
    '"incarnation":{"vm":"frontend-","startedAtMs":17',
    '"zone":"","region":"","callerAddress":{"host":"10.","port":',
    '"peerAddress":{"host":"10.","port":},"weight":0.',
    '{"id":"i-","service":"","zone":"","address":{"host":"10.","port":',
    '},"slots":,"state":"active","warmUpLeftMs":0,"startedAtMs":17,"sequence":',
    '"state":"leaving","failure",true],["i-',
    '"failure",false],["i-',
    '{"from":"frontend-","startedAtMs":17,"clockMs":,"echo":{"startedAtMs":17',
    ',"clockMs":},"knowsReceiver":true,"isLeaving":false,"leads":[{"vm":"frontend-',
    '","sinceMs":17,"ageMs":0,"requestsPerSecond":},{"vm":"frontend-',
    '}],"storeEra":1,"configurationVersion":,"configurationPosition":{"era":1,',
    '"offset":},"configurationAgeMs":,"servers":{"changes":[],"revision":,',
    '"isComplete":true,"seenRevision":,"position":{"era":1,"offset":},"ageMs":',
    '},"vmCount":,"vmListDigest":,"codec":1,"suspicions":{"rows":[],"revision":0,',
    '"seenRevision":0,"isComplete":true},"serverLimits":[],"report":{',
    '"evidence":[["i-","success",false],["i-',
    ']],"loads":[["i-",1],["i-",1],["i-",2]],"demand":[["",0.',
  ].join(""),
);

/**
 * Encodes a message.
 *
 * @param message - any message as plain data
 * @param isCompressed - true to compress it; the receiver has to be told
 * @returns the bytes
 */
export function encodeMessage(message: unknown, isCompressed: boolean): Buffer {
  const text = Buffer.from(JSON.stringify(message), "utf8");
  return isCompressed
    ? deflateRawSync(text, { dictionary: MESSAGE_DICTIONARY, memLevel: 5 })
    : text;
}

/**
 * Decodes a message.
 *
 * @param bytes - the message as received
 * @param isCompressed - true if the sender has compressed it
 * @returns the message, unchecked; throws if the bytes are not a message
 */
export function decodeMessage(bytes: Buffer, isCompressed: boolean): unknown {
  const text = isCompressed
    ? inflateRawSync(bytes, {
      dictionary: MESSAGE_DICTIONARY,
      maxOutputLength: MAX_MESSAGE_BYTES,
    })
    : bytes;
  if (countContainers(text) > MAX_CONTAINERS) {
    throw new RangeError("too many objects and arrays");
  }
  return JSON.parse(text.toString("utf8")) as unknown;
}

// Those that stand in texts count as well.
function countContainers(text: Buffer): number {
  let count = 0;
  for (const byte of text) {
    count += byte === OPENING_BRACE || byte === OPENING_BRACKET ? 1 : 0;
  }
  return count;
}
