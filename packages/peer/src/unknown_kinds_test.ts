import { generateLoopbackHost } from "./fakes/loopback_host.ts";
import { FleetCallServer } from "./fleet_call_server.ts";
import { FleetCallClient } from "./fleet_calls.ts";
import type { EvidenceNotice, SyncMessage } from "./fleet_sync.ts";

const PORT = 18_000;
const POSITION = { era: 0, offset: 1 };

function buildSuspicion(status: string): object {
  return { fingerprint: status, generation: 0, status, runs: [] };
}

function buildChange(state: string): object {
  const address = { host: "127.0.0.1", port: 9 };
  const times = { warmUpLeftMs: 0, startedAtMs: 1, sequence: 1 };
  const server = { id: state, service: "s", zone: "a", address, slots: 1 };
  return {
    server: { ...server, state, ...times },
    isGone: false,
    position: POSITION,
  };
}

function buildMessage(
  kinds: readonly string[],
  isComplete: boolean,
): SyncMessage {
  const rows = kinds.filter((kind) => kind !== "active").map(buildSuspicion);
  const changes = kinds.filter((kind) => kind !== "suspect").map(buildChange);
  const evidence = kinds.filter((kind) => kind === "vague").map((kind) => [
    "i-1",
    kind,
    false,
  ]);
  const revisions = { revision: 1, seenRevision: 0, isComplete };
  return {
    from: "vm-1",
    startedAtMs: 1,
    clockMs: 1,
    knowsReceiver: true,
    isLeaving: false,
    leads: [],
    vmCount: 1,
    storeEra: 0,
    configurationVersion: 4,
    configurationPosition: POSITION,
    configurationAgeMs: 3,
    servers: { changes, ...revisions, ageMs: 5 },
    suspicions: { rows, ...revisions },
    report: {
      evidence: [...evidence, ["i-1", "failure", true]],
      loads: [["i-1", 1]],
      demand: [],
    },
  } as unknown as SyncMessage;
}

// Guards against a kind that only a later build knows: because of one row, the
// older builds would lose all that VMs tell one another.
describe("a kind that this build does not know", () => {
  const host = generateLoopbackHost();
  const client = new FleetCallClient();
  const options = { to: { host, port: PORT }, timeoutMs: 2_000 };
  const received: unknown[] = [];
  const answer = {
    ...buildMessage(["suspect", "active", "vague"], true),
    configuration: { routes: [{ access: "vague" }] },
  } as unknown as SyncMessage;
  const server = new FleetCallServer({
    handleExchange: (message) => {
      received.push(message);
      return answer;
    },
    handleEvidence: (notice) => received.push(notice),
    handleTokenRequest: () => ({ isGranted: true, retryAfterMs: 0 }),
    handleServerTokenRequest: () => ({ kind: "not-owner" }),
    handleServerLimitReport: () => undefined,
    handleForwarded: () => undefined,
  });
  beforeAll(async () => {
    await server.bind({ host, port: PORT });
  });
  afterAll(async () => {
    await client.close();
    server.close();
  });
  beforeEach(() => {
    received.length = 0;
  });

  it("takes its row out of a message and its reply, which are incomplete", async () => {
    const rest = buildMessage(["suspect", "active"], false);
    const reply = await client.sendExchange(answer, options);
    expect(received).toEqual([rest]);
    expect(reply).toEqual({ ok: true, value: rest });
  });

  it("leaves whole a message without one", async () => {
    const whole = buildMessage(["suspect", "active"], true);
    await client.sendExchange(whole, options);
    expect(received).toEqual([whole]);
  });

  it("takes its rows out of a notice", async () => {
    const notice = {
      from: "vm-1",
      evidence: [["i-1", "vague", false], ["i-1", "failure", true]],
      suspicions: [buildSuspicion("vague"), buildSuspicion("suspect")],
    } as unknown as EvidenceNotice;
    await client.sendEvidence(notice, options);
    expect(received).toEqual([{
      from: "vm-1",
      evidence: [["i-1", "failure", true]],
      suspicions: [buildSuspicion("suspect")],
    }]);
  });
});
