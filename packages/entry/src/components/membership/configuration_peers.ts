/** What the configuration needs of the other VMs. */

import type { ConfigurationState } from "@limpetford/core/configuration/configuration_fold";
import type { Connectivity } from "@limpetford/core/configuration/serving_rule";

/**
 * The other VMs, as sources of the configuration.
 */
export abstract class ConfigurationPeers {
  /**
   * Reads how well this VM is connected.
   *
   * @returns ages and counts
   */
  abstract readConnectivity(): Connectivity;

  /** Records that this VM has read and applied the log to its end. */
  abstract recordLogRead(): void;

  /**
   * Finds the place of this VM in an order of the fleet that all VMs agree on.
   *
   * @returns the place, from 0
   */
  abstract findRank(): number;

  /**
   * Fetches the configuration from another VM.
   *
   * @param nextOffset - first offset that this VM has not folded
   * @returns a state that is ahead, or undefined
   */
  abstract fetchConfiguration(
    nextOffset: number,
  ): Promise<ConfigurationState | undefined>;
}

/**
 * A VM without others.
 */
export class NoConfigurationPeers extends ConfigurationPeers {
  override readConnectivity(): Connectivity {
    return { logAgeMs: 0, silenceMs: 0, memberCount: 1, reachableCount: 1 };
  }

  override recordLogRead(): void {
    // Nobody else asks for it.
  }

  override findRank(): number {
    return 0;
  }

  override fetchConfiguration(): Promise<undefined> {
    return Promise.resolve(undefined);
  }
}
