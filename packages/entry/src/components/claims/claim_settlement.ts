/** Turns answers of the serving path into records and back. */

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
 * Turns the end of a request into a claim's outcome.
 *
 * @param settlement - how the request ended
 * @param limitBytes - largest body that is kept
 * @returns the outcome
 */
export function turnSettlement(
  settlement: ClaimSettlement,
  limitBytes: number,
): ClaimOutcome {
  switch (settlement.kind) {
    case "answered":
      return settlement.answer.body.byteLength <= limitBytes
        ? { kind: "answered", answer: encodeAnswer(settlement.answer) }
        : { kind: "answered-not-kept" };
    case "answered-not-kept":
    case "not-run":
    case "unknown":
      return { kind: settlement.kind };
  }
}

/**
 * Turns a claim's outcome into the verdict on a repetition of its request.
 *
 * @param outcome - how the first request ended
 * @returns the verdict
 */
export function turnOutcome(outcome: ClaimOutcome): ClaimVerdict {
  switch (outcome.kind) {
    case "answered":
      return { kind: "replay", answer: decodeAnswer(outcome.answer) };
    case "answered-not-kept":
      return { kind: "ran-answer-not-kept" };
    case "not-run":
    case "unknown":
      return { kind: "outcome-unknown" };
  }
}

function encodeAnswer(answer: ReplayableResponse): StoredResponse {
  const { status, headers } = answer;
  const body = Buffer.from(answer.body).toString("base64");
  return { status, headers, body };
}

function decodeAnswer(answer: StoredResponse): ReplayableResponse {
  const { status, headers } = answer;
  const body = new Uint8Array(Buffer.from(answer.body, "base64"));
  return { status, headers, body };
}
