// Guards against a message of another form than the VMs send: what it leaves in the
// state of a VM throws later, in timers and for other callers.

import * as http from "node:http";
import type { AddressInfo } from "node:net";

import { generateLoopbackHost } from "./fakes/loopback_host.ts";
import { FleetCallServer } from "./fleet_call_server.ts";
import { FleetCallClient } from "./fleet_calls.ts";
import type { SyncMessage } from "./fleet_sync.ts";

const TIMEOUT_MS = 2_000;
const PORT = 18_000;
const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const ADDRESS = { host: "127.0.0.1", port: 9 };
const RECORD = {
  incarnation: { vm: "vm-1", startedAtMs: 1 },
  zone: "a",
  region: "r",
  callerAddress: ADDRESS,
  peerAddress: ADDRESS,
  weight: 1,
};
const COMMON = {
  from: "vm-1",
  startedAtMs: 1,
  clockMs: 1,
  record: RECORD,
  knowsReceiver: true,
  isLeaving: false,
  leads: [],
  vmCount: 1,
};
const MESSAGE = {
  ...COMMON,
  storeEra: 0,
  configurationVersion: -1,
  configurationAgeMs: null,
  servers: {
    changes: [],
    revision: 0,
    isComplete: true,
    seenRevision: 0,
    ageMs: null,
  },
};
const MALFORMED: readonly (readonly [string, unknown])[] = [
  ["nothing", null],
  ["no fields", {}],
  ["a sender that is no text", { ...MESSAGE, from: 5 }],
  ["a record without addresses", { ...MESSAGE, record: { incarnation: {} } }],
  ["a record with a null", { ...MESSAGE, vms: [null] }],
  ["an address out of range", {
    ...MESSAGE,
    vms: [{ ...RECORD, callerAddress: { host: "x y", port: 9 } }],
  }],
  ["claims that are no list", { ...MESSAGE, leads: 5 }],
  ["no servers", { ...MESSAGE, servers: undefined }],
  ["a server without a position", {
    ...MESSAGE,
    servers: { ...MESSAGE.servers, changes: [{ server: {} }] },
  }],
  ["a run of which it is unclear whether it was given up", {
    ...MESSAGE,
    suspicions: {
      rows: [{
        fingerprint: "f",
        generation: 0,
        status: "suspect",
        runs: [{ id: "r", server: "i", ranMs: 1, ageMs: 1, wasGivenUp: "no" }],
      }],
      revision: 1,
      seenRevision: 0,
    },
  }],
  ["a run of which it is unclear whether other servers crashed", {
    ...MESSAGE,
    suspicions: {
      rows: [{
        fingerprint: "f",
        generation: 0,
        status: "suspect",
        runs: [{ id: "r", server: "i", ranMs: 1, ageMs: 1, wasAmidOthers: 0 }],
      }],
      revision: 1,
      seenRevision: 0,
    },
  }],
  ["a configuration without routes", {
    ...MESSAGE,
    configuration: { version: 9 },
  }],
];

describe("a malformed message between VMs", () => {
  const client = new FleetCallClient();
  const received: SyncMessage[] = [];
  let reply = "";
  const host = generateLoopbackHost();
  const server = new FleetCallServer({
    handleExchange: (message) => {
      received.push(message);
      return message;
    },
    handleEvidence: () => undefined,
    handleTokenRequest: () => ({ isGranted: true, retryAfterMs: 0 }),
    handleServerTokenRequest: () => ({ kind: "not-owner" }),
    handleServerLimitReport: () => undefined,
    handleForwarded: () => undefined,
  });
  const peer = http.createServer((request, response) => {
    request.resume().on("end", () => {
      response.end(reply);
    });
  });
  beforeAll(async () => {
    await server.bind({ host, port: PORT });
    await new Promise<void>((resolve) => {
      peer.listen(0, "127.0.0.1", resolve);
    });
  });
  afterAll(async () => {
    await client.close();
    server.close();
    peer.close();
    peer.closeAllConnections();
  });
  beforeEach(() => {
    received.length = 0;
  });

  async function sendCall(message: unknown): Promise<number> {
    const response = await fetch(`http://${host}:${PORT}/exchange`, {
      method: "POST",
      body: JSON.stringify(message),
    });
    return response.status;
  }

  async function isReplyAccepted(message: unknown): Promise<boolean> {
    reply = JSON.stringify(message);
    const { port } = peer.address() as AddressInfo;
    const result = await client.sendExchange(
      MESSAGE as unknown as SyncMessage,
      { to: { host: "127.0.0.1", port }, timeoutMs: TIMEOUT_MS },
    );
    return result.ok;
  }

  it.each(MALFORMED)("is refused as a call: %s", async (_name, message) => {
    expect(await sendCall(message)).toBe(STATUS_BAD_REQUEST);
    expect(received).toEqual([]);
  });

  it.each(MALFORMED)("is no reply: %s", async (_name, message) => {
    expect(await isReplyAccepted(message)).toBe(false);
  });

  it.each([
    ["of this version", MESSAGE],
    ["with fields of a later version", { ...MESSAGE, news: [1] }],
    ["of an earlier version", { ...COMMON, servers: { nextOffset: 4 } }],
  ])("is none that a VM sends: %s", async (_name, message) => {
    expect(await sendCall(message)).toBe(STATUS_OK);
    expect(received).toEqual([message]);
    expect(await isReplyAccepted(message)).toBe(true);
  });
});
