import type { RequestId } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";

import { estimateArrivalMs } from "./arrival.ts";

describe("estimateArrivalMs", () => {
  it.each([
    {
      what: "nothing while the loop is not behind",
      unread: 0,
      expected: 5_000,
    },
    { what: "the time that it lay unread", unread: 600, expected: 4_400 },
    { what: "a third of its time at most", unread: 9_000, expected: 4_000 },
  ])("counts $what", ({ unread, expected }) => {
    const arrival = {
      id: toId<RequestId>("r"),
      receivedAtMs: 5_000,
      minUnreadMs: 0,
      likelyUnreadMs: unread,
    };
    expect(estimateArrivalMs(arrival, 3_000)).toBe(expected);
  });
});
