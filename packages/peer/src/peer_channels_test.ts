import { makeOk } from "@limpetford/domain/result";
import type { SocketAddress } from "@limpetford/domain/vm";

import {
  HeartbeatReply,
  HeartbeatRequest,
  MembershipClient,
  MembershipService,
} from "./generated/membership.ts";
import { type LinkDecision, LinkFaults } from "./link_faults.ts";
import { PeerChannels } from "./peer_channels.ts";
import { PeerServer } from "./peer_server.ts";

const TIMEOUT_MS = 2_000;
const SHORT_TIMEOUT_MS = 20;

class FixedLinkFaults extends LinkFaults {
  readonly #decision: LinkDecision;

  constructor(decision: LinkDecision) {
    super();
    this.#decision = decision;
  }

  override decide(): LinkDecision {
    return this.#decision;
  }
}

describe("PeerChannels", () => {
  const server = new PeerServer();
  let address: SocketAddress;
  let received = 0;

  beforeAll(async () => {
    server.register(MembershipService, {
      heartbeat: (_call: unknown, callback: (e: null, r: unknown) => void) => {
        received += 1;
        callback(
          null,
          HeartbeatReply.fromPartial({
            replier: { vm: "vm-1", startedAtMs: 1 },
          }),
        );
      },
    });
    address = await server.bind({ host: "127.0.0.1", port: 0 }, undefined);
  });

  afterAll(() => {
    server.close();
  });

  const cases: readonly {
    decision: LinkDecision;
    timeoutMs: number;
    reply: unknown;
    calls: number;
  }[] = [
    {
      decision: "pass",
      timeoutMs: TIMEOUT_MS,
      reply: makeOk({ replier: { vm: "vm-1", startedAtMs: 1 } }),
      calls: 1,
    },
    {
      decision: "drop-request",
      timeoutMs: SHORT_TIMEOUT_MS,
      reply: { ok: false, error: { kind: "peer-reply-lost" } },
      calls: 0,
    },
    {
      decision: "drop-reply",
      timeoutMs: TIMEOUT_MS,
      reply: { ok: false, error: { kind: "peer-reply-lost" } },
      calls: 1,
    },
  ];

  it.each(cases)("applies the link decision $decision", async (row) => {
    const channels = new PeerChannels({
      linkFaults: new FixedLinkFaults(row.decision),
    });
    received = 0;
    const call = channels.bind(
      MembershipClient,
      (client) => client.heartbeat.bind(client),
    );
    const reply = await call(HeartbeatRequest.fromPartial({ sequence: 1 }), {
      to: address,
      timeoutMs: row.timeoutMs,
    });
    channels.close();
    expect(reply).toMatchObject(row.reply as object);
    expect(received).toBe(row.calls);
  });
});
