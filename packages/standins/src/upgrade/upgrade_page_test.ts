import type { ObservedRequest } from "../process_soak/soak_callers.ts";
import { countBySecond, renderUpgradePage } from "./upgrade_page.ts";

const REQUEST: ObservedRequest = {
  id: "a",
  target: "/book/1",
  isIdempotent: false,
  isCrashing: false,
  response: { status: 200, headers: {}, body: "" },
  responseRequestId: "a",
  sentAtMs: 1_000,
  endedAtMs: 1_100,
  vm: "vm-1",
  hasGivenUp: false,
};
const RESULT = {
  seed: 1,
  startedAtMs: 1_000,
  endedAtMs: 3_000,
  sent: [
    REQUEST,
    { ...REQUEST, sentAtMs: 2_500, response: undefined },
    {
      ...REQUEST,
      sentAtMs: 2_999,
      response: { status: 503, headers: {}, body: "" },
    },
  ],
  lives: [{
    vm: "vm-1",
    build: "e3ec2a7",
    fromMs: 1_000,
    toMs: undefined,
    exitCode: undefined,
    wasStopped: false,
    log: "",
  }],
  disturbances: [],
  events: [{ atMs: 1_500, what: "kill" }],
  violations: ["a <broken> rule"],
};

it("counts requests by second and outcome", () => {
  expect(countBySecond(RESULT)).toEqual({
    served: [1, 0],
    refused: [0, 1],
    unanswered: [0, 1],
  });
});

it("shows builds, events and broken rules", () => {
  const page = renderUpgradePage(RESULT, { script: "", style: "" });
  expect(page).toContain("<title>vm-1: e3ec2a7</title>");
  expect(page).toContain("<tr><td>0.5<td>kill</tr>");
  expect(page).toContain("<li>a &lt;broken> rule");
});
