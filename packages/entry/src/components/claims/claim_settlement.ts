/** Converts responses and outcomes between the ledger and claim records. */

import type {
  ClaimOutcome,
  StoredResponse,
} from "@limpetford/core/claims/claim_record";

import type {
  ClaimSettlement,
  ClaimVerdict,
  ReplayableResponse,
} from "../../ports/idempotency_ledger.ts";

/**
 * Converts the end of a request into the outcome recorded for its claim.
 *
 * @param settlement - how the request ended
 * @param maxBodyBytes - size limit of a response body that is stored for replay
 * @returns the outcome; without the response if its body exceeds the limit
 */
export function convertSettlement(
  settlement: ClaimSettlement,
  maxBodyBytes: number,
): ClaimOutcome {
  switch (settlement.kind) {
    case "answered":
      return settlement.answer.body.byteLength <= maxBodyBytes
        ? { kind: "answered", answer: encodeResponse(settlement.answer) }
        : { kind: "answered-not-kept" };
    case "answered-not-kept":
    case "not-run":
    case "unknown":
      return { kind: settlement.kind };
  }
}

/**
 * Converts a claim's outcome into the verdict on a request that repeats the
 * same idempotency key.
 *
 * @param outcome - recorded outcome of the first request
 * @returns a replay of the stored response, or the reason why there is none
 */
export function convertOutcome(outcome: ClaimOutcome): ClaimVerdict {
  switch (outcome.kind) {
    case "answered":
      return { kind: "replay", answer: decodeResponse(outcome.answer) };
    case "answered-not-kept":
      return { kind: "ran-answer-not-kept" };
    case "not-run":
    case "unknown":
      return { kind: "outcome-unknown" };
  }
}

function encodeResponse(response: ReplayableResponse): StoredResponse {
  const { status, headers } = response;
  const body = Buffer.from(response.body).toString("base64");
  return { status, headers, body };
}

function decodeResponse(response: StoredResponse): ReplayableResponse {
  const { status, headers } = response;
  const body = new Uint8Array(Buffer.from(response.body, "base64"));
  return { status, headers, body };
}
