/** Rate limiters of several leaders, without any network. */

import type { FakeClock } from "@limpetford/core/time/fake_clock";
import { type TeamId, toId } from "@limpetford/domain/ids";

import type { TokenCall } from "../fleet/shared_rate_limiter.ts";
import { buildEmptyConfiguration } from "./empty_configuration.ts";
import { buildExchangeVm, ExchangeSide } from "./exchange_side.ts";

/** The team whose limit the leaders divide. */
export const LIMITED_TEAM = toId<TeamId>("dance");

/** A limit of the whole fleet, and the leaders that divide it. */
export interface LimiterFleetOptions {
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly tolerance: number;
  readonly vms: number;
  /** Number of VMs in the store's list; 0 while it has not been read. */
  readonly listed: number;
  /** True if each VM is the only one of its zone. */
  readonly hasOwnZones?: boolean;
  /** Asks another leader for a token; by default no call is answered. */
  readonly sendTokenRequest?: TokenCall;
}

/**
 * Starts the leaders, not for the first time, so that none knows what was
 * granted before.
 *
 * @param clock - shared by all VMs
 * @param options - the limit and the numbers of VMs
 * @returns the leaders, which have not heard of each other
 */
export function startLimiters(
  clock: FakeClock,
  options: LimiterFleetOptions,
): readonly ExchangeSide[] {
  const { ratePerSecond, burst, tolerance, vms, listed } = options;
  const configuration = {
    ...buildEmptyConfiguration(1),
    teams: [{ id: LIMITED_TEAM, ratePerSecond, burst, weight: 1, priority: 1 }],
  };
  const findZone = (index: number): string =>
    options.hasOwnZones === true ? `zone-${index}` : "z";
  const startedAtMs = clock.readWallMs();
  return Array.from({ length: vms }, (_, index) => {
    const side = new ExchangeSide(`vm-${index}`, clock, {
      startedAtMs,
      zone: findZone(index),
      limiter: {
        sendTokenRequest: options.sendTokenRequest ??
          (() => Promise.resolve(undefined)),
        isFirstStart: false,
        hasOtherSeeds: true,
        tolerance,
      },
    });
    side.state.applyConfiguration({
      configuration,
      position: { era: 0, offset: 0 },
    });
    for (let other = 0; other < listed; other++) {
      side.state.applyVm(
        buildExchangeVm(`vm-${other}`, startedAtMs, findZone(other)),
      );
    }
    side.peers.ownLeaderSinceMs = clock.readWallMs();
    return side;
  });
}
