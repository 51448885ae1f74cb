import {
  type InterruptedRun,
  SuspicionRegistry,
} from "./suspicion_registry.ts";

const REQUEST = "request";

function buildRun(server: string, endedAtMs: number): InterruptedRun {
  return {
    fingerprint: REQUEST,
    id: `run at ${server}`,
    sentAtMs: endedAtMs - 60,
    endedAtMs,
    wasServerRunning: false,
  };
}

// Guards against a popular request that is refused by a VM which has just started
// or was frozen: it gets the suspicion, and hasn't heard of the other crashes.
describe("a suspicion that a VM learns", () => {
  it("is no quarantine while the VM that saw the crashes needs one more", () => {
    const observer = new SuspicionRegistry();
    observer.recordCrash("other", [], 0);
    observer.recordCrash("s1", [buildRun("s1", 400)], 400);
    observer.recordCrash("s2", [buildRun("s2", 1_000)], 1_000);
    const started = new SuspicionRegistry();
    observer.list().forEach((one) => started.apply(one, 1_500));
    started.list().forEach((one) => observer.apply(one, 1_600));
    const statuses = [observer, started].map((one) => one.findStatus(REQUEST));
    expect(statuses).toEqual(["suspect", "suspect"]);
    started.recordCrash("s3", [buildRun("s3", 2_000)], 2_000);
    expect(started.findStatus(REQUEST)).toBe("quarantined");
  });
});
