import { FakeClock } from "@limpetford/core/time/fake_clock";
import { StoreClient } from "@limpetford/platform/store/store_client";
import { TOPIC } from "@limpetford/platform/store/wire_names";

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
    });
    const running = consumer.run();
    await new Promise((resolve) => setTimeout(resolve, 400));
    consumer.stop();
    await running;
    await client.close();
    expect(handler.dueChecks).toBeLessThan(5);
  });
});
