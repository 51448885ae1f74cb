/** Publish/subscribe interface for the facts that gossip spreads to all VMs. */

import type { MonotoneFact } from "@limpetford/domain/monotone_fact";

/**
 * Publishes monotone facts, which are spread to all VMs and never undone, and
 * delivers those of other VMs.
 */
export abstract class FactBus {
  /**
   * Publishes a fact learned at this VM. Listeners of this VM receive it at
   * once, other VMs by gossip.
   *
   * @param fact - the fact to publish
   */
  abstract publish(fact: MonotoneFact): void;

  /**
   * Registers a listener for facts that are new to this VM. It is called at
   * once for each fact already known.
   *
   * @param listener - called once per new fact
   */
  abstract subscribe(listener: (fact: MonotoneFact) => void): void;
}
