import { countCrashes, SUSPICION_STATUS } from "./suspicion.ts";
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

  // Two VMs ran it at the one server when that crashed; the news of one of them come
  // late, and the crash seems later than it was.
  it("counts the crash of a server once, though another VM dates it later", () => {
    const delayMs = 350;
    const other = new SuspicionRegistry();
    other.recordCrash("s1", [buildRun("s1", 300)], 300);
    other.recordCrash("s2", [{ ...buildRun("s2", 995), id: "of other" }], 995);
    const here = new SuspicionRegistry();
    here.recordCrash("without", [], 0);
    here.recordCrash("s2", [buildRun("s2", 1_000)], 1_000);
    const dated = other.list().map((one) => ({
      ...one,
      status: SUSPICION_STATUS.suspect,
      runs: one.runs.map((run) => ({
        ...run,
        crashedAtMs: run.crashedAtMs + delayMs,
      })),
    }));
    dated.forEach((one) => here.apply(one, 995 + delayMs));
    expect(countCrashes(here.find(REQUEST)?.runs ?? [])).toBe(2);
    expect(here.findStatus(REQUEST)).toBe("suspect");
  });

  it("counts servers of one rack once, though another VM dates one of them later", () => {
    const here = new SuspicionRegistry();
    here.recordCrash("s1", [buildRun("s1", 1_000)], 1_000);
    here.recordCrash("s2", [buildRun("s2", 1_010)], 1_010);
    const late = { ...buildRun("s2", 1_360), id: "of other" };
    here.recordCrash("s2", [late], 1_360);
    expect(countCrashes(here.find(REQUEST)?.runs ?? [])).toBe(1);
  });

  // A server that is back at once crashes more often before it counts again.
  it.each([
    { everyMs: 1_100, crashes: 2 },
    { everyMs: 500, crashes: 4 },
  ])(
    "is a quarantine after $crashes crashes of one server every $everyMs ms",
    ({ everyMs, crashes }) => {
      const here = new SuspicionRegistry();
      const statuses = Array.from({ length: crashes }, (_, index) => {
        const atMs = (index + 1) * everyMs;
        const run = { ...buildRun("s1", atMs), id: `run ${index}` };
        here.recordCrash("s1", [run], atMs);
        return here.findStatus(REQUEST);
      });
      expect(statuses.indexOf("quarantined")).toBe(crashes - 1);
    },
  );
});
