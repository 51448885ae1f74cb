// Explores every state that the shard's state machine reaches by these events.
// In none of them may a VM act for a shard that it does not hold, promise while
// a record of its own is pending, or write a record that breaks a promise.

import { type ShardId, toId } from "@limpetford/domain/ids";
import { getAdjacencyMap } from "xstate/graph";

import type { OwnershipRecord } from "../ownership/ownership_record.ts";
import { SHARD_MACHINE, type ShardEvent } from "../ownership/shard_machine.ts";
import {
  describePhase,
  isHolder,
  mayActAsHolder,
  mayAppend,
  mayPromise,
  type ShardReplica,
} from "../ownership/shard_replica.ts";
import { buildModelVm } from "./model_state.ts";

const SELF = buildModelVm(0);
const PEER = buildModelVm(1);
const MAX_STATES = 20_000;

const CLAIM: OwnershipRecord = {
  kind: "ownership",
  change: "claim",
  id: "1",
  proposer: SELF,
  basedOn: 0,
  epoch: 1,
  holder: SELF,
  standby: PEER,
  unknownUntilMs: 0,
};
const TAKEOVER: OwnershipRecord = {
  ...CLAIM,
  change: "takeover",
  id: "2",
  proposer: PEER,
  basedOn: 1,
  epoch: 2,
  holder: PEER,
  standby: SELF,
};

function buildRead(record: OwnershipRecord, offset: number): ShardEvent {
  return {
    type: "records-read",
    records: [{ offset, record }],
    nextOffset: offset + 1,
    atMs: 0,
    firstPromiseMs: 1,
  };
}

const EVENTS: readonly ShardEvent[] = [
  buildRead(CLAIM, 0),
  buildRead(TAKEOVER, 1),
  { type: "append-sent", record: CLAIM },
  { type: "append-placed", offset: 0 },
  { type: "append-failed" },
  { type: "append-unknown" },
  { type: "promise-given", peer: PEER, untilMs: 1 },
  { type: "promise-received", peer: PEER, untilMs: 1 },
  { type: "peer-dropped", peer: PEER, atMs: 0 },
  { type: "resigned" },
  { type: "resignation-received", from: PEER, epoch: 2 },
];

describe("SHARD_MACHINE", () => {
  const map = getAdjacencyMap(SHARD_MACHINE, {
    input: { shard: toId<ShardId>(0), self: SELF },
    events: [...EVENTS],
    serializeState: (snapshot) => JSON.stringify(snapshot.context),
    limit: MAX_STATES,
  });
  const nodes: readonly { state: { context: ShardReplica } }[] = Object.values(
    map,
  );
  const replicas = nodes.map((node) => node.state.context);

  it("reaches every phase", () => {
    const phases = new Set(replicas.map((item) => describePhase(item, 0)));
    expect([...phases].sort()).toMatchSnapshot();
  });

  it("acts only as holder, and never after it has resigned", () => {
    const acting = replicas.filter((item) => mayActAsHolder(item, 0));
    expect(acting.length).toBeGreaterThan(0);
    expect(acting.every((item) => isHolder(item) && !item.hasResigned))
      .toBe(true);
  });

  it("gives no promise while a record of its own is pending", () => {
    const pending = replicas.filter((item) => item.pending !== undefined);
    expect(pending.length).toBeGreaterThan(0);
    const request = { peer: PEER, epoch: 9 };
    expect(pending.some((item) => mayPromise(item, request))).toBe(false);
  });

  it("writes no record while a promise to a live VM is in force", () => {
    const bound = replicas.filter((item) =>
      item.given.length > 0 && item.gonePeer === undefined
    );
    expect(bound.length).toBeGreaterThan(0);
    expect(bound.some((item) => mayAppend(item, 0, () => false))).toBe(false);
  });
});
