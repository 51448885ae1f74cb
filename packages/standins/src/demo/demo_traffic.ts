/** Background load for the demo when it runs without the tour. */

import { DemoCaller } from "./demo_caller.ts";
import type { DemoFleet } from "./demo_fleet.ts";
import { buildDemoKey } from "./demo_profile.ts";

const SEND_INTERVAL_MS = 100;

/**
 * Sends reads of two teams to the VMs in round-robin order.
 */
export class DemoTraffic {
  readonly #fleet: DemoFleet;
  readonly #callers: DemoCaller[];
  #timer: NodeJS.Timeout | undefined;
  #sent = 0;

  /**
   * Creates one caller for each VM.
   *
   * @param fleet - running fleet that receives the load
   */
  constructor(fleet: DemoFleet) {
    this.#fleet = fleet;
    this.#callers = [...fleet.vms.values()].map((vm) =>
      new DemoCaller(vm.callerAddress)
    );
  }

  /** Starts sending one request in each interval. */
  start(): void {
    this.#timer = setInterval(() => {
      this.#sendNext();
    }, SEND_INTERVAL_MS);
  }

  /** Stops sending and closes the connections. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#callers.map((caller) => caller.close()));
  }

  #sendNext(): void {
    const { readPath, largeTeam, smallTeam } = this.#fleet.profile;
    const caller = this.#callers[this.#sent % this.#callers.length];
    const team = this.#sent % 3 === 0 ? smallTeam : largeTeam;
    this.#sent += 1;
    void caller?.send({ path: readPath, key: buildDemoKey(team) });
  }
}
