import type {
  ConfigurationChange,
  ConfigurationRecord,
} from "@limpetford/domain/configuration_record";
import {
  type ConfigurationVersion,
  type KeyHash,
  type RouteId,
  type ServiceId,
  type TeamId,
  toId,
} from "@limpetford/domain/ids";
import fc from "fast-check";

import {
  buildCheckpoint,
  type ConfigurationState,
  foldRecord,
  INITIAL_CONFIGURATION_STATE,
  type LoggedRecord,
} from "./configuration_fold.ts";
import { ConfigurationReader } from "./configuration_reader.ts";

const SEED = 41;
const RUNS = 300;

function makeKey(digit: number): KeyHash {
  return toId<KeyHash>(String(digit).repeat(64));
}

function makeProposal(
  id: string,
  basedOn: number,
  changes: readonly ConfigurationChange[],
): ConfigurationRecord {
  return {
    kind: "proposal",
    id,
    basedOn: toId<ConfigurationVersion>(basedOn),
    proposer: "planner",
    proposedAtMs: 0,
    changes,
  };
}

const putTeam: ConfigurationChange = {
  kind: "put-team",
  team: { id: toId<TeamId>("t"), ratePerSecond: 5, burst: 10, weight: 1 },
};
const putService: ConfigurationChange = {
  kind: "put-service",
  service: {
    id: toId<ServiceId>("s"),
    floor: 0.5,
    falseEjectionsPerServerDay: 1,
    healthPath: "/health",
  },
};

function makeRoute(id: string): ConfigurationChange {
  return {
    kind: "put-route",
    route: {
      id: toId<RouteId>(id),
      service: toId<ServiceId>("s"),
      method: "GET",
      pathPrefix: "/",
      access: "team",
      isIdempotent: true,
      deadlineMs: 1_000,
      bodyLimitBytes: 0,
      derivedKeyWindowMs: 0,
    },
  };
}

function foldAll(records: readonly ConfigurationRecord[]): {
  readonly state: ConfigurationState;
  readonly outcomes: readonly string[];
} {
  let state = INITIAL_CONFIGURATION_STATE;
  const outcomes: string[] = [];
  records.forEach((record, offset) => {
    const step = foldRecord(state, { offset, record });
    state = step.state;
    outcomes.push(
      step.outcome.kind === "invalid"
        ? `invalid ${step.outcome.error.kind}`
        : step.outcome.kind,
    );
  });
  return { state, outcomes };
}

// Concurrent proposals, dangling references and withdrawn keys: every VM must
// accept and reject the same proposals, or versions diverge between VMs.
describe("foldRecord", () => {
  const cases: readonly {
    readonly name: string;
    readonly records: readonly ConfigurationRecord[];
    readonly outcomes: readonly string[];
    readonly version: number;
  }[] = [
    {
      name: "accepts the first of two proposals on the same base",
      records: [
        makeProposal("a", 0, [putTeam]),
        makeProposal("b", 0, [putService]),
      ],
      outcomes: ["accepted", "lost-race"],
      version: 1,
    },
    {
      name: "keeps the base in force after an invalid proposal",
      records: [
        makeProposal("a", 0, [makeRoute("r")]),
        makeProposal("b", 0, [putService, makeRoute("r")]),
      ],
      outcomes: ["invalid dangling-reference", "accepted"],
      version: 1,
    },
    {
      name: "does not remove a service that a route refers to",
      records: [
        makeProposal("a", 0, [putService, makeRoute("r")]),
        makeProposal("b", 1, [{
          kind: "remove-service",
          id: toId<ServiceId>("s"),
        }]),
      ],
      outcomes: ["accepted", "invalid dangling-reference"],
      version: 1,
    },
    {
      name: "rejects two routes with the same method and prefix",
      records: [
        makeProposal("a", 0, [putService, makeRoute("r"), makeRoute("q")]),
      ],
      outcomes: ["invalid route-conflict"],
      version: 0,
    },
    {
      name: "rejects the removal of an unknown record",
      records: [
        makeProposal("a", 0, [{ kind: "remove-team", id: toId<TeamId>("x") }]),
      ],
      outcomes: ["invalid not-found"],
      version: 0,
    },
    {
      name: "never issues a withdrawn key again",
      records: [
        { kind: "key-withdrawn", key: makeKey(1) },
        { kind: "key-withdrawn", key: makeKey(1) },
        makeProposal("a", 0, [putTeam, {
          kind: "put-key",
          key: { hash: makeKey(1), team: toId<TeamId>("t") },
        }]),
      ],
      outcomes: ["withdrawn", "ignored", "invalid key-is-withdrawn"],
      version: 0,
    },
  ];

  it.each(cases)("$name", ({ records, outcomes, version }) => {
    const result = foldAll(records);
    expect(result.outcomes).toEqual(outcomes);
    expect(result.state.configuration.version).toBe(version);
  });
});

const arbitraryRecord: fc.Arbitrary<ConfigurationRecord> = fc.oneof(
  fc.record({ basedOn: fc.nat(4), rate: fc.integer({ min: 1, max: 9 }) }).map(
    ({ basedOn, rate }) =>
      makeProposal(`p${basedOn}-${rate}`, basedOn, [{
        kind: "put-team",
        team: {
          id: toId<TeamId>(`t${rate}`),
          ratePerSecond: rate,
          burst: rate,
          weight: 1,
        },
      }]),
  ),
  fc.nat(3).map((digit): ConfigurationRecord => ({
    kind: "key-withdrawn",
    key: makeKey(digit),
  })),
);

function makeLogged(records: readonly ConfigurationRecord[]): LoggedRecord[] {
  return records.map((record, offset) => ({ offset, record }));
}

// A reader that starts late or misses expired records must arrive at the state
// of the other readers, and must never go back to an earlier version.
describe("ConfigurationReader", () => {
  it("reaches the same state from the first record, a checkpoint or a peer", () => {
    fc.assert(
      fc.property(
        fc.array(arbitraryRecord, { minLength: 1, maxLength: 30 }),
        fc.nat(29),
        fc.nat(29),
        (records, checkpointAt, oldest) => {
          const cut = Math.min(checkpointAt, records.length);
          const before = foldAll(records.slice(0, cut)).state;
          const stream = makeLogged([
            ...records.slice(0, cut),
            buildCheckpoint(before),
            ...records.slice(cut),
          ]);
          const first = Math.min(oldest, cut);
          const whole = new ConfigurationReader();
          stream.forEach((logged) => whole.advance(logged));
          const late = new ConfigurationReader();
          late.handleExpiredRecords(first);
          stream.slice(first).forEach((logged) => late.advance(logged));
          const fromPeer = new ConfigurationReader();
          fromPeer.restore(before);
          stream.slice(cut).forEach((logged) => fromPeer.advance(logged));
          expect(late.readState()).toEqual(whole.readState());
          expect(fromPeer.readState()).toEqual(whole.readState());
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it("waits for a checkpoint after a gap and never goes back to an older version", () => {
    const reader = new ConfigurationReader();
    reader.advance({ offset: 0, record: makeProposal("a", 0, [putTeam]) });
    reader.handleExpiredRecords(5);
    const withdrawal: ConfigurationRecord = {
      kind: "key-withdrawn",
      key: makeKey(2),
    };
    expect(reader.advance({ offset: 5, record: withdrawal })).toEqual([]);
    expect(reader.readState().configuration.version).toBe(1);
    const other = foldAll([
      makeProposal("a", 0, [putTeam]),
      makeProposal("b", 1, [putService]),
    ]).state;
    const checkpoint = buildCheckpoint({ ...other, nextOffset: 5 });
    const outcomes = reader.advance({ offset: 6, record: checkpoint });
    expect(outcomes.map((outcome) => outcome.kind)).toEqual([
      "restored",
      "withdrawn",
      "ignored",
    ]);
    expect(reader.readState().configuration.version).toBe(2);
    expect(reader.readNextOffset()).toBe(7);
  });
});
