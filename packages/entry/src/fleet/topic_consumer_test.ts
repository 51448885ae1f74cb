import { FakeClock } from "@limpetford/core/time/fake_clock";
import { makeOk } from "@limpetford/domain/result";
import { StoreClient } from "@limpetford/platform/store/store_client";
import { TOPIC } from "@limpetford/platform/store/wire_names";

import { CollectedExceptions } from "../fakes/collected_exceptions.ts";
import { FleetLog } from "./fleet_log.ts";
import { TopicConsumer, TopicHandler } from "./topic_consumer.ts";

class IdleHandler extends TopicHandler {
  override readonly topic = TOPIC.vms;
  override readonly waitMs = 0;
  dueChecks = 0;

  override readNextPosition(): undefined {
    return undefined;
  }

  override readDueInMs(): number {
    this.dueChecks += 1;
    return Infinity;
  }

  override applySnapshot(): void {
    throw new Error("nothing is due");
  }

  override applyRecords(): void {
    throw new Error("nothing is due");
  }

  override recordFreshness(): void {
    throw new Error("nothing is due");
  }
}

class EmptyStore extends StoreClient {
  override async fetchSnapshot(): ReturnType<StoreClient["fetchSnapshot"]> {
    return await Promise.resolve(
      makeOk({ records: [], end: { era: 0, offset: 0 } }),
    );
  }
}

class ThrowingHandler extends IdleHandler {
  reads = 0;

  override readDueInMs(): number {
    return this.reads < 2 ? 0 : Infinity;
  }

  override applySnapshot(): void {
    this.reads += 1;
    if (this.reads === 1) {
      throw new Error("odd record");
    }
  }

  override recordFreshness(): void {
    return;
  }
}

// A handler without any read due returns an infinite delay. Passed on to
// setTimeout, it would fire at once, and the consumer would busy-loop.
describe("TopicConsumer", () => {
  it("does not busy-loop while no read is due", async () => {
    const clock = new FakeClock();
    const handler = new IdleHandler();
    const client = new StoreClient({ host: "127.0.0.1", port: 9 });
    const consumer = new TopicConsumer(handler, {
      client,
      clock,
      log: new FleetLog({ clock, level: "error", vm: "a" }),
      exceptions: new CollectedExceptions(),
    });
    const running = consumer.run();
    await new Promise((resolve) => setTimeout(resolve, 400));
    consumer.stop();
    await running;
    await client.close();
    expect(handler.dueChecks).toBeLessThan(5);
  });

  // Guards against a record that ends the process, or the reads of its topic.
  it("reads again after an exception", async () => {
    const clock = new FakeClock();
    const handler = new ThrowingHandler();
    const client = new EmptyStore({ host: "127.0.0.1", port: 9 });
    const exceptions = new CollectedExceptions();
    const consumer = new TopicConsumer(handler, {
      client,
      clock,
      log: new FleetLog({ clock, level: "error", vm: "a" }),
      exceptions,
    });
    const running = consumer.run();
    await new Promise((resolve) => setTimeout(resolve, 400));
    consumer.stop();
    await running;
    await client.close();
    expect(handler.reads).toBe(2);
    expect(exceptions.sources).toEqual(["store"]);
  });
});
