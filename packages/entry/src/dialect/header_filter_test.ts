import fc from "fast-check";

import { removeKeyFromTarget } from "../serving/request_admission.ts";
import {
  selectRequestHeaders,
  selectResponseHeaders,
} from "./header_filter.ts";

const KEY = "SeCrEt-key.0123456789~";
const ENCODED = KEY.replace("-", "%2D").replace(".", "%2e");

describe("selectRequestHeaders", () => {
  it.each([
    ["keeps an ordinary header", ["Accept", "text/html"], [
      "accept",
      "text/html",
    ]],
    ["drops the key's own header", ["Authorization", `Bearer ${KEY}`], []],
    ["drops other credentials", ["Authorization", "Basic abc"], []],
    ["drops a header that holds the key", ["Cookie", `a=1; k=${KEY}`], []],
    ["drops a header that holds it encoded", ["X-Back", `/?k=${ENCODED}`], []],
    ["drops a header named after the key", [KEY, "1"], []],
    ["drops what concerns the connection", ["TE", "trailers"], []],
    ["drops headers that Connection lists", [
      "Connection",
      "keep-alive, X-Hop",
      "X-Hop",
      "1",
      "X-Kept",
      "2",
    ], ["x-kept", "2"]],
    ["drops limpetford's own", ["Limpetford-Outcome", "ran"], []],
    ["drops trailers' names", ["Trailer", "X-Key"], []],
  ])("%s", (_name, rawHeaders, expected) => {
    expect(selectRequestHeaders(rawHeaders, KEY)).toEqual(expected);
  });

  it("lets no header through that holds the key", () => {
    const text = fc.oneof(
      fc.constantFrom(KEY, ENCODED, `x${KEY}`, `${KEY}, ${KEY}`, "plain"),
      fc.string(),
    );
    const headers = fc.array(fc.tuple(text, text)).map((pairs) => pairs.flat());
    fc.assert(
      fc.property(headers, (rawHeaders) => {
        const selected = selectRequestHeaders(rawHeaders, KEY).join("\n");
        expect(selected).not.toContain(KEY);
        expect(selected).not.toContain(KEY.toLowerCase());
        expect(selected).not.toContain(ENCODED);
      }),
      { seed: 3, numRuns: 500 },
    );
  });
});

describe("removeKeyFromTarget", () => {
  it.each([
    ["/read", "/read"],
    ["/read?a=1", "/read?a=1"],
    [`/read?key=${KEY}`, "/read"],
    [`/read?a=1&key=${ENCODED}&b=2`, "/read?a=1&b=2"],
    [`/read?${KEY}=1&b=2`, "/read?b=2"],
    [`/read/${KEY}?b=2`, undefined],
    [`/read/${ENCODED}`, undefined],
  ])("turns %s into %s", (target, expected) => {
    expect(removeKeyFromTarget(target, KEY)).toBe(expected);
  });

  it("never leaves the key", () => {
    const part = fc.constantFrom(KEY, ENCODED, "a", "&", "=", "?", "%", "/");
    fc.assert(
      fc.property(fc.array(part), (parts) => {
        const cleaned = removeKeyFromTarget(`/${parts.join("")}`, KEY);
        expect(cleaned ?? "").not.toContain(KEY);
        expect(cleaned ?? "").not.toContain(ENCODED);
      }),
      { seed: 5, numRuns: 500 },
    );
  });
});

describe("selectAnswerHeaders", () => {
  it("keeps what is the caller's and drops the rest", () => {
    expect(selectResponseHeaders({
      "content-type": "text/plain",
      "set-cookie": ["a=1", "b=2"],
      "transfer-encoding": "chunked",
      "connection": "keep-alive, x-hop",
      "x-hop": "1",
      "limpetford-outcome": "not-run",
    })).toEqual([
      "content-type",
      "text/plain",
      "set-cookie",
      "a=1",
      "set-cookie",
      "b=2",
    ]);
  });
});
