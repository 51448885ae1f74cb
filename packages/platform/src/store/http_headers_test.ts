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
    expect(parseServerResponse(200, headers).rateLimit).toEqual(expected);
  });

  it("formats retry-after in seconds", () => {
    expect(buildRetryAfter(250)).toEqual(["retry-after", "0.250"]);
  });
});
