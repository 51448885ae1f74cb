import { type ServiceId, type TeamId, toId } from "@limpetford/domain/ids";
import { REQUEST_OUTCOME } from "@limpetford/domain/request_outcome";

import {
  buildForwardingHeader,
  FORWARDED_RESULT,
  type ForwardingTerms,
  parseForwardedResult,
  parseForwardingHeader,
  toForwardedResult,
} from "./forwarding_headers.ts";

const TERMS: ForwardingTerms = {
  service: toId<ServiceId>("bands"),
  team: toId<TeamId>("dänce, \r\n"),
  attempts: 1,
  isCounted: true,
  version: 7,
  targetLeftMs: -12.5,
};

function encode(value: unknown): string {
  return encodeURIComponent(JSON.stringify(value));
}

describe("the header of a forwarded request", () => {
  it.each<[string, ForwardingTerms]>([
    ["with a team", TERMS],
    ["without a team", { ...TERMS, team: undefined }],
  ])("is read as it was written, %s", (_name, terms) => {
    const [, value] = buildForwardingHeader(terms);
    expect(value).toMatch(/^[\x21-\x7e]+$/);
    expect(parseForwardingHeader(value)).toEqual(terms);
  });

  it.each<[string, string | string[] | undefined]>([
    ["absent", undefined],
    ["sent twice", ["a", "b"]],
    ["empty", ""],
    ["no JSON", "%7B"],
    ["badly encoded", "%"],
    ["null", encode(null)],
    ["a list", encode([])],
    ["without a service", encode({ ...TERMS, service: undefined })],
    ["with a team that is a number", encode({ ...TERMS, team: 1 })],
    ["with a fraction of an attempt", encode({ ...TERMS, attempts: 0.5 })],
    ["with a text for a flag", encode({ ...TERMS, isCounted: "yes" })],
    ["without a version", encode({ ...TERMS, version: null })],
    ["without a time left", encode({ ...TERMS, targetLeftMs: null })],
  ])("is refused if it is %s", (_name, value) => {
    expect(parseForwardingHeader(value)).toBeUndefined();
  });
});

describe("the result of a forwarded request", () => {
  it.each<[string | string[] | undefined, string]>([
    ["answered", FORWARDED_RESULT.answered],
    ["not-run", FORWARDED_RESULT.notRun],
    ["unknown", FORWARDED_RESULT.unknown],
    [undefined, FORWARDED_RESULT.unknown],
    ["Not-Run", FORWARDED_RESULT.unknown],
    [["not-run", "not-run"], FORWARDED_RESULT.unknown],
  ])("%p is read as %s", (value, expected) => {
    expect(parseForwardedResult(value)).toBe(expected);
  });

  it("promises that a request has not run only if that is certain", () => {
    expect(toForwardedResult(REQUEST_OUTCOME.notRun))
      .toBe(FORWARDED_RESULT.notRun);
    expect(toForwardedResult(REQUEST_OUTCOME.unknown))
      .toBe(FORWARDED_RESULT.unknown);
  });
});
