import { findBreaches, type SentRequest } from "./soak_checks.ts";

const RESPONSE = { status: 200, headers: {}, body: "answer of i-1" };
const SENT: SentRequest = {
  id: "a",
  target: "/book/1",
  isIdempotent: false,
  response: RESPONSE,
  responseRequestId: "a",
};
const RUN = { id: "a", target: "/book/1" };

// Guards against a soak that passes because a check no longer detects its
// violation.
describe("findBreaches", () => {
  it.each([
    { name: "served once", sent: SENT, runs: [RUN], breaches: 0 },
    {
      name: "idempotent and ran twice",
      sent: { ...SENT, isIdempotent: true },
      runs: [RUN, RUN],
      breaches: 0,
    },
    {
      name: "non-idempotent and ran twice",
      sent: SENT,
      runs: [RUN, RUN],
      breaches: 1,
    },
    {
      name: "refused although it ran",
      sent: { ...SENT, response: { ...RESPONSE, status: 503 } },
      runs: [RUN],
      breaches: 1,
    },
    {
      name: "failed after it ran",
      sent: { ...SENT, response: { ...RESPONSE, status: 502 } },
      runs: [RUN],
      breaches: 0,
    },
    { name: "answered 200 without a run", sent: SENT, runs: [], breaches: 1 },
    {
      name: "response to another request",
      sent: { ...SENT, responseRequestId: "b" },
      runs: [RUN],
      breaches: 1,
    },
    {
      name: "truncated response body",
      sent: { ...SENT, response: { ...RESPONSE, body: "answer" } },
      runs: [RUN],
      breaches: 1,
    },
    {
      name: "ran with another target",
      sent: SENT,
      runs: [{ id: "a", target: "/book/2" }],
      breaches: 1,
    },
  ])("$name: $breaches", ({ sent, runs, breaches }) => {
    expect(findBreaches({ sent: [sent], runs })).toHaveLength(breaches);
  });
});
