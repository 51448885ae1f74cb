/** Contract of the monotone facts known at a VM. */

import type { MonotoneFact } from "@limpetford/domain/monotone_fact";

/**
 * Monotone facts, spread to all VMs and never undone.
 */
export abstract class FactBus {
  /**
   * Publishes a fact learned here; applied at once, then spread.
   *
   * @param fact - the fact
   */
  abstract publish(fact: MonotoneFact): void;

  /**
   * Registers a listener for facts that are new at this VM. Facts already
   * known are delivered at once.
   *
   * @param listener - called once per new fact
   */
  abstract subscribe(listener: (fact: MonotoneFact) => void): void;
}
