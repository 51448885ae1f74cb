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

  it("are told to a VM that another one knows from its earlier process", () => {
    const before = createSide("a", "today");
    const b = createSide("b", "yesterday");
    for (let round = 0; round < 2; round++) {
      b.messages.apply(buildMessage(before, b), -Infinity);
      before.messages.apply(buildMessage(b, before), -Infinity);
    }
    const options = { build: "today", startedAtMs: 2 };
    const after = new ExchangeSide("a", clock, options);
    after.state.applyVm(b.self);
    const record = jest.spyOn(after.log, "record");
    // The other VM has not heard of the new process when it sends the first one.
    after.messages.apply(buildMessage(b, before), -Infinity);
    b.messages.apply(buildMessage(after, b), -Infinity);
    after.messages.apply(buildMessage(b, after), -Infinity);
    expect(record.mock.calls).toEqual([
      ["peer-build-differs", { peer: "b", build: "yesterday" }],
    ]);
  });
});
