// Guards against builds that do not understand one another while both serve:
// recorded/ has what each landing sends and writes (docs/upgrades.md).

import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import * as path from "node:path";

import { FakeClock } from "@limpetford/core/time/fake_clock";
import type { EvidenceNotice, SyncMessage } from "@limpetford/peer/fleet_sync";
import {
  EVIDENCE_SCHEMA,
  SERVER_LIMIT_REPORT_SCHEMA,
  SERVER_TOKEN_REPLY_SCHEMA,
  SERVER_TOKEN_REQUEST_SCHEMA,
  SYNC_MESSAGE_SCHEMA,
  TOKEN_REPLY_SCHEMA,
  TOKEN_REQUEST_SCHEMA,
} from "@limpetford/peer/message_schemas";
import { decodeStoreEra } from "@limpetford/platform/store/store_era_codec";
import { decodeSuspicion } from "@limpetford/platform/store/suspicion_codec";
import { decodeVmRecord } from "@limpetford/platform/store/vm_record_codec";

import { parseForwardingHeader } from "../dialect/forwarding_headers.ts";
import { ExchangeSide } from "../fakes/exchange_side.ts";
import {
  type RecordedExchange,
  recordExchange,
} from "../fakes/recorded_exchange.ts";

const DIRECTORY = path.join(__dirname, "recorded");
const BUILDS = [
  "8aaaefe",
  "e3ec2a7",
  "785d524",
  "d538b51",
  "0939c3e",
  "a65711d",
];
/** Names the file that is written; without it nothing is. */
const RECORDED_BUILD = process.env["LIMPETFORD_RECORDED_BUILD"];
const SCHEMAS = {
  first: SYNC_MESSAGE_SCHEMA,
  firstReply: SYNC_MESSAGE_SCHEMA,
  second: SYNC_MESSAGE_SCHEMA,
  secondReply: SYNC_MESSAGE_SCHEMA,
  evidence: EVIDENCE_SCHEMA,
  tokenRequest: TOKEN_REQUEST_SCHEMA,
  tokenReply: TOKEN_REPLY_SCHEMA,
  serverTokenRequest: SERVER_TOKEN_REQUEST_SCHEMA,
  "serverTokenReply refused": SERVER_TOKEN_REPLY_SCHEMA,
  "serverTokenReply granted": SERVER_TOKEN_REPLY_SCHEMA,
  serverLimitReport: SERVER_LIMIT_REPORT_SCHEMA,
} as const;
/** Fields whose text is one of a few kinds, which a reader has to know. */
const KIND_PATTERN = /\.(state|status|access|kind|evidence\.\*\.1)$/;

function readRecorded(build: string): RecordedExchange {
  const text = readFileSync(path.join(DIRECTORY, `${build}.json`), "utf8");
  return JSON.parse(text) as RecordedExchange;
}

// A line for each field. Of lists, all elements are taken together unless they are
// plain values, which are told by their position.
function listFields(
  value: unknown,
  formatField: (at: string, field: unknown) => string,
  at = "",
): readonly string[] {
  if (typeof value !== "object" || value === null) {
    return [formatField(at, value)];
  }
  const entries: readonly (readonly [string, unknown])[] = value instanceof Map
    ? [...value as ReadonlyMap<string, unknown>]
    : Object.entries(value);
  return entries.flatMap(([name, field]) => {
    const isElement = Array.isArray(value) && typeof field === "object";
    return listFields(field, formatField, `${at}.${isElement ? "*" : name}`);
  });
}

function formatValue(at: string, value: unknown): string {
  return `${at} = ${String(value)}`;
}

// What a reader relies on: the type of a field, and for kinds which of them it is.
function formatType(at: string, value: unknown): string {
  return KIND_PATTERN.test(at)
    ? formatValue(at, value)
    : `${at}: ${value === null ? "null" : typeof value}`;
}

// Builds differ in what they send in which round of an exchange.
function listSentFields(exchange: RecordedExchange): ReadonlySet<string> {
  const { messages, records, headers } = exchange;
  const fields = Object.entries(messages).flatMap(([name, message]) =>
    listFields(
      message,
      formatType,
      /^(first|second)(Reply)?$/.test(name) ? "exchange" : name,
    )
  );
  const terms = headers.map((header) =>
    JSON.parse(decodeURIComponent(header)) as unknown
  );
  return new Set([
    ...fields,
    ...listFields(records, formatType, "records"),
    ...listFields(terms, formatType, "headers"),
  ]);
}

function listMissing(
  from: Iterable<string>,
  has: ReadonlySet<string>,
): readonly string[] {
  return [...from].filter((field) => !has.has(field));
}

// Everything that a follower learns from the messages of a leader.
function listLearned(exchange: RecordedExchange): ReadonlySet<string> {
  const { messages, records, headers } = exchange;
  const clock = new FakeClock();
  const side = new ExchangeSide("a", clock);
  const reports: unknown[] = [];
  Object.assign(side.balancers, {
    applyPeerReport: (...report: unknown[]) => reports.push(report),
    applyPeerEvidence: (evidence: unknown) => reports.push(evidence),
  });
  Object.assign(side.limiter, {
    applyPeer: (...demand: unknown[]) => reports.push(demand),
  });
  clock.advance(1_000);
  // The record of a VM of an early build is learned from the store.
  const leader = messages["firstReply"] as SyncMessage;
  side.state.applyVm(
    leader.vms?.find(({ incarnation }) => incarnation.vm === leader.from) ??
      side.self,
  );
  for (const name of ["firstReply", "secondReply"]) {
    const message = messages[name] as SyncMessage;
    side.messages.apply(message, clock.readMonotonicMs());
    clock.advance(100);
  }
  const notice = messages["evidence"] as EvidenceNotice;
  side.crashes.suspicions.applyNotice(notice.from, notice);
  const { state, peers, limits, crashes } = side;
  const nowMs = clock.readMonotonicMs();
  const read = (name: string): Buffer =>
    Buffer.from(JSON.stringify(records[name]));
  const learned = {
    vms: state.listVms(),
    configuration: state.active,
    configurationAgeMs: state.configurationAgeMs,
    storeEra: state.storeEra,
    servers: state.servers.listChangesSince(0, nowMs),
    serversAgeMs: state.serversAgeMs,
    peers: state.listVms().map((vm) => peers.getPeer(vm)),
    claims: state.listVms().map((vm) => peers.readClaim(vm)),
    reach: peers.reach.list(nowMs),
    suspicions: crashes.registry.list(),
    limits: limits.tracker.listRows(0),
    reports,
    vmRecord: decodeVmRecord("b", read("vm")),
    eraRecord: decodeStoreEra(read("storeEra")),
    suspicionRecord: decodeSuspicion("f", read("suspicion f"), {
      nowMs,
      wallMs: 1_000_000,
    }),
    terms: headers.map((header) => parseForwardingHeader(header)),
  };
  return new Set(listFields(learned, formatValue));
}

describe.each(BUILDS)("what build %s sends and writes", (build) => {
  const recorded = readRecorded(build);

  it.each(Object.entries(SCHEMAS))("is accepted: %s", (name, schema) => {
    expect(schema.safeParse(recorded.messages[name]).error).toBeUndefined();
  });

  it("teaches what today's does, but for these fields", async () => {
    const theirs = listLearned(recorded);
    const ours = listLearned(await recordExchange());
    expect({
      unknown: listMissing(ours, theirs),
      instead: listMissing(theirs, ours),
    }).toMatchSnapshot();
  });

  it("has no field that today's leaves out, nor lacks kinds of today's", async () => {
    const theirs = listSentFields(recorded);
    const ours = listSentFields(await recordExchange());
    const kinds = [...ours].filter((field) => field.includes(" = "));
    expect(listMissing(theirs, ours)).toEqual([]);
    expect(listMissing(kinds, theirs)).toEqual([]);
  });
});

describe("the recorded builds", () => {
  it("are all of those that may still serve", async () => {
    if (RECORDED_BUILD !== undefined) {
      const played = await recordExchange();
      writeFileSync(
        path.join(DIRECTORY, `${RECORDED_BUILD}.json`),
        `${JSON.stringify(played)}\n`,
      );
    }
    const files = readdirSync(DIRECTORY).map((name) => path.parse(name).name);
    expect(files.sort()).toEqual([...BUILDS].sort());
  });
});
