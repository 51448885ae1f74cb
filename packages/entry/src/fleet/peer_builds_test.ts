import { FakeClock } from "@limpetford/core/time/fake_clock";
import type { SyncMessage } from "@limpetford/peer/fleet_sync";

import { ExchangeSide } from "../fakes/exchange_side.ts";

// Guards against an upgrade of which a VM's log does not tell.
describe("the builds of other VMs", () => {
  const clock = new FakeClock();

  function createSide(id: string, build: string): ExchangeSide {
    return new ExchangeSide(id, clock, { build });
  }

  function buildMessage(from: ExchangeSide, to: ExchangeSide): SyncMessage {
    return from.messages.build(from.peers.getPeer(to.self), []);
  }

  function buildEarlierMessage(
    from: ExchangeSide,
    to: ExchangeSide,
  ): SyncMessage {
    const message = { ...buildMessage(from, to), build: undefined };
    return JSON.parse(JSON.stringify(message)) as SyncMessage;
  }

  it("are logged once each, at the first VM that runs them", () => {
    const self = createSide("self", "today");
    const record = jest.spyOn(self.log, "record");
    const others = ["a", "b"].map((id) => createSide(id, "yesterday"));
    const older = createSide("c", "");
    const messages = [
      buildMessage(createSide("d", "today"), self),
      ...others.map((side) => buildMessage(side, self)),
      buildEarlierMessage(older, self),
      ...others.map((side) => buildMessage(side, self)),
    ];
    for (const message of messages) {
      self.messages.apply(message, -Infinity);
    }
    expect(record.mock.calls).toEqual([
      ["peer-build-differs", { peer: "a", build: "yesterday" }],
      ["peer-build-differs", { peer: "c", build: "none" }],
    ]);
  });

  it("are said with the record alone, which is sent until it has arrived", () => {
    const [a, b] = [createSide("a", "today"), createSide("b", "yesterday")];
    const builds: (readonly (string | undefined)[])[] = [];
    for (let round = 0; round < 3; round++) {
      const message = buildMessage(a, b);
      b.messages.apply(message, -Infinity);
      const reply = buildMessage(b, a);
      a.messages.apply(reply, clock.readMonotonicMs());
      builds.push([message.build, reply.build]);
    }
    expect(builds).toEqual([
      ["today", "yesterday"],
      [undefined, undefined],
      [undefined, undefined],
    ]);
  });
});
