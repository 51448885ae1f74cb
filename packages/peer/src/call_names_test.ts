import { createHash } from "node:crypto";
import * as http from "node:http";
import type { AddressInfo } from "node:net";

import { FORWARDED_HEADER } from "./call_protocol.ts";
import { CALL_COMPRESSION, FleetCallClient } from "./fleet_calls.ts";
import type { EvidenceNotice, SyncMessage } from "./fleet_sync.ts";
import { COMPRESSED_ENCODING, MESSAGE_DICTIONARY } from "./message_codec.ts";

// Guards against names and a dictionary that VMs of another build do not know
// (docs/upgrades.md). A snapshot may grow; what it has must stay.
describe("what a call to another VM is named", () => {
  it("stays, as other builds know it", async () => {
    const calls: unknown[] = [];
    const server = http.createServer((request, response) => {
      const { method, url, headers } = request;
      const sent = headers["content-encoding"];
      calls.push([method, url, sent, headers["accept-encoding"]]);
      response.writeHead(404).end();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    const client = new FleetCallClient();
    const { port } = server.address() as AddressInfo;
    const to = { host: "127.0.0.1", port };
    const plain = { to, timeoutMs: 2_000 };
    const both = { ...plain, compression: CALL_COMPRESSION.both };
    await client.sendExchange({} as SyncMessage, both);
    await client.sendEvidence({} as EvidenceNotice, both);
    await client.sendTokenRequest({ team: "" }, plain);
    const limit = { server: "", startedAtMs: 1, ageMs: 1 };
    await client.sendServerTokenRequest({ limit, zone: "" }, plain);
    await client.sendServerLimitReport(limit, plain);
    await client.close();
    server.close();
    expect({ calls, forwarded: FORWARDED_HEADER }).toMatchSnapshot();
  });

  it("comes with the dictionary of its version", () => {
    const digest = createHash("sha256").update(MESSAGE_DICTIONARY).digest(
      "hex",
    );
    expect({ encoding: COMPRESSED_ENCODING, digest }).toMatchSnapshot();
  });
});
