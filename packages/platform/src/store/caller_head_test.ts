import {
  buildRetryAfter,
  buildServerHeaders,
  isSetByVm,
  parseCallerHeaders,
  parseServerResponse,
} from "./http_headers.ts";

describe("heads of requests and answers", () => {
  it("reads what a caller says", () => {
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

  it.each(["", "-1", "soon", "1e9"])("ignores the time left %j", (value) => {
    expect(parseCallerHeaders({ "request-deadline": value }).timeLeftMs)
      .toBeUndefined();
  });

  it("tells a server what it needs and no key", () => {
    expect(buildServerHeaders({
      requestId: "r1",
      timeLeftMs: 120.9,
      server: "i-1",
      team: "dance",
    })).toMatchSnapshot();
    expect(isSetByVm("key")).toBe(true);
    expect(isSetByVm("accept")).toBe(false);
  });

  const answers = [
    [503, { "not-executed": "1" }, true],
    [421, { "instance-id": "i-2" }, true],
    [429, { "not-executed": "" }, true],
    [503, {}, false],
    [500, { "server-signature": "x" }, false],
  ] as const;
  it.each(answers)("reads status %i with %j", (status, headers, isNotRun) => {
    expect(parseServerResponse(status, headers).isNotRun).toBe(isNotRun);
  });

  it("tells when to come back in seconds", () => {
    expect(buildRetryAfter(250)).toEqual(["retry-after", "0.250"]);
  });
});
