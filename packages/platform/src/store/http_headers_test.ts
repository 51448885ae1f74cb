import {
  buildRetryAfter,
  buildServerHeaders,
  isSetByVm,
  parseCallerHeaders,
  parseServerResponse,
} from "./http_headers.ts";

describe("request and response headers", () => {
  it("parses the headers of a caller's request", () => {
    expect(parseCallerHeaders({
      "host": "Bands.Example:8080",
      "key": "secret",
      "request-id": "r1",
      "request-deadline": "2000.5",
    })).toEqual({
      requestId: "r1",
      timeLeftMs: 2_000.5,
      secret: "secret",
      host: "bands.example",
    });
  });

  it.each(["", "-1", "soon", "1e9"])("ignores the deadline %j", (value) => {
    expect(parseCallerHeaders({ "request-deadline": value }).timeLeftMs)
      .toBeUndefined();
  });

  it("sends a server its headers without the API key", () => {
    expect(buildServerHeaders({
      requestId: "r1",
      timeLeftMs: 120.9,
      server: "i-1",
      team: "dance",
    })).toMatchSnapshot();
    expect(isSetByVm("key")).toBe(true);
    expect(isSetByVm("accept")).toBe(false);
  });

  const responses = [
    [503, { "not-executed": "1" }, true],
    [421, { "instance-id": "i-2" }, true],
    [429, { "not-executed": "" }, true],
    [503, {}, false],
    [500, { "server-signature": "x" }, false],
  ] as const;
  it.each(responses)(
    "classifies status %i with %j",
    (status, headers, isNotRun) => {
      expect(parseServerResponse(status, headers).isNotRun).toBe(isNotRun);
    },
  );

  const limits = [
    [undefined, { kind: "none" }],
    ["2", { kind: "named", requestsPerSecond: 2 }],
    ["2.5", { kind: "named", requestsPerSecond: 2.5 }],
    [" 0.25 ", { kind: "named", requestsPerSecond: 0.25 }],
    [".5", { kind: "named", requestsPerSecond: 0.5 }],
    ["0", { kind: "named", requestsPerSecond: 0 }],
    ["", { kind: "unreadable" }],
    ["-1", { kind: "unreadable" }],
    ["1e3", { kind: "unreadable" }],
    ["0x10", { kind: "unreadable" }],
    ["NaN", { kind: "unreadable" }],
    ["Infinity", { kind: "unreadable" }],
    ["2, 3", { kind: "unreadable" }],
    [["2", "3"], { kind: "unreadable" }],
  ] as const;
  it.each(limits)("reads the server limit %j", (value, expected) => {
    const headers = value === undefined
      ? {}
      : { "server-limit": typeof value === "string" ? value : [...value] };
    expect(parseServerResponse(200, headers).notice?.rateLimit).toEqual(
      expected,
    );
  });

  const leavingValues = [
    [undefined, false],
    ["1", true],
    [" 1 ", true],
    ["1, 1", true],
    [["0", "1"], true],
    ["0", false],
    ["", false],
    ["-1", false],
    ["true", false],
    ["11", false],
  ] as const;
  it.each(leavingValues)("reads from %j that a server leaves", (value, is) => {
    const headers = value === undefined
      ? {}
      : { "server-leaving": typeof value === "string" ? value : [...value] };
    for (const status of [200, 404, 500, 503]) {
      expect(parseServerResponse(status, headers).notice?.isLeaving).toBe(is);
    }
  });

  const pauses = [
    [undefined, undefined],
    ["4", 4_000],
    ["0", 0],
    ["0.3", 300],
    [".5", 500],
    ["3600", 3_600_000],
    ["2, 5", 5_000],
    [["7", "1.5"], 7_000],
    ["soon, 2", 2_000],
    ["", undefined],
    ["-1", undefined],
    ["1e3", undefined],
    ["NaN", undefined],
    ["Infinity", undefined],
    ["99999999999", undefined],
    ["Fri, 04 Dec 2026 10:00:00 GMT", undefined],
  ] as const;
  it.each(pauses)("reads the pause of a 503 from %j", (value, expected) => {
    const headers = value === undefined
      ? {}
      : { "retry-after": typeof value === "string" ? value : [...value] };
    expect(parseServerResponse(503, headers).notice?.pauseMs).toBe(expected);
    expect(parseServerResponse(429, headers).notice?.pauseMs).toBeUndefined();
  });

  it("does not take the word of a server at a reused address", () => {
    const headers = { "server-leaving": "1", "server-limit": "2" };
    expect(parseServerResponse(421, headers).notice).toBeUndefined();
  });

  it("formats retry-after in seconds", () => {
    expect(buildRetryAfter(250)).toEqual(["retry-after", "0.250"]);
  });
});
