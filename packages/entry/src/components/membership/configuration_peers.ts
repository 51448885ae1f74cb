/** Access of the configuration component to the other VMs of the fleet. */

import type { ConfigurationState } from "@limpetford/core/configuration/configuration_fold";
import type { Connectivity } from "@limpetford/core/configuration/serving_rule";

/**
 * Other VMs as peers for configuration: connectivity, the order in which VMs
 * read the log, and transfer of the configuration itself.
 */
export abstract class ConfigurationPeers {
  /**
   * Reads how well this VM is connected to the log and to the other VMs.
   *
   * @returns ages of the last contacts, and numbers of members
   */
  abstract readConnectivity(): Connectivity;

  /** Records that this VM has just read and applied the log to its end. */
  abstract recordLogRead(): void;

  /**
   * Finds the rank of this VM in an order of the fleet that all VMs compute
   * alike.
   *
   * @returns rank from 0, which is the first VM in the order
   */
  abstract findRank(): number;

  /**
   * Fetches the configuration from another VM.
   *
   * @param nextOffset - first log offset that this VM has not applied
   * @returns a newer state, or undefined if no VM returned one
   */
  abstract fetchConfiguration(
    nextOffset: number,
  ): Promise<ConfigurationState | undefined>;
}

/**
 * Implementation for a VM without peers, for example in a fleet of one.
 */
export class NoConfigurationPeers extends ConfigurationPeers {
  override readConnectivity(): Connectivity {
    return { logAgeMs: 0, silenceMs: 0, memberCount: 1, reachableCount: 1 };
  }

  override recordLogRead(): void {
    // No other VM needs to know the age of the last read.
  }

  override findRank(): number {
    return 0;
  }

  override fetchConfiguration(): Promise<undefined> {
    return Promise.resolve(undefined);
  }
}
