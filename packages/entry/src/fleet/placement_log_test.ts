import { buildPlacementRequest } from "../fakes/placement_request.ts";
import { describeEnd } from "./placement_log.ts";

describe("describeEnd", () => {
  const sample = {
    outcome: "shed",
    firstByteMs: 1.4,
    totalMs: 2.6,
    wasConnectionReused: true,
    answerBytes: 0,
  } as const;

  // Guards against two attempts under one identifier that the log can't tell apart.
  it("names the attempt and the connection that it went over", () => {
    const connection = { number: 7, requestsBefore: 3, copies: 1 };
    const end = describeEnd(buildPlacementRequest("r1"), "i-1", {
      ...sample,
      sentAfterMs: 1.2,
      connection,
    });
    expect(end).toMatchSnapshot();
  });

  it("names no connection and no sending if none was opened", () => {
    expect(describeEnd(buildPlacementRequest("r1"), "i-1", sample))
      .toMatchObject({
        sentAfterMs: -1,
        connection: 0,
        requestsBefore: 0,
        copies: 0,
      });
  });
});
