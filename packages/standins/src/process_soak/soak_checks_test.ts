import { findBreaches, type SentRequest } from "./soak_checks.ts";

const ANSWER = { status: 200, headers: {}, body: "answer of i-1" };
const SENT: SentRequest = {
  id: "a",
  target: "/book/1",
  isRepeatable: false,
  answer: ANSWER,
  answeredId: "a",
};
const RUN = { id: "a", target: "/book/1" };

describe("findBreaches", () => {
  it.each([
    { name: "served once", sent: SENT, runs: [RUN], breaches: 0 },
    {
      name: "repeatable and ran twice",
      sent: { ...SENT, isRepeatable: true },
      runs: [RUN, RUN],
      breaches: 0,
    },
    { name: "ran twice", sent: SENT, runs: [RUN, RUN], breaches: 1 },
    {
      name: "refused and ran",
      sent: { ...SENT, answer: { ...ANSWER, status: 503 } },
      runs: [RUN],
      breaches: 1,
    },
    {
      name: "failed and ran",
      sent: { ...SENT, answer: { ...ANSWER, status: 502 } },
      runs: [RUN],
      breaches: 0,
    },
    { name: "served without a run", sent: SENT, runs: [], breaches: 1 },
    {
      name: "another's answer",
      sent: { ...SENT, answeredId: "b" },
      runs: [RUN],
      breaches: 1,
    },
    {
      name: "half an answer",
      sent: { ...SENT, answer: { ...ANSWER, body: "answer" } },
      runs: [RUN],
      breaches: 1,
    },
    {
      name: "another target",
      sent: SENT,
      runs: [{ id: "a", target: "/book/2" }],
      breaches: 1,
    },
  ])("$name: $breaches", ({ sent, runs, breaches }) => {
    expect(findBreaches({ sent: [sent], runs })).toHaveLength(breaches);
  });
});
