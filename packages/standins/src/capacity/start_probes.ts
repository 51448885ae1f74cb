/** Probes of a VM that fetches its configuration from a peer at its start. */

import {
  type ConfigurationState,
  INITIAL_CONFIGURATION_STATE,
} from "@limpetford/core/configuration/configuration_fold";
import { ConfigurationTables } from "@limpetford/core/configuration/configuration_tables";
import {
  ConfigurationEncoder,
  fetchState,
} from "@limpetford/entry/components/configuration/configuration_transfer";

import type { CapacityProbe } from "./capacity_probe.ts";
import { buildLargeConfiguration } from "./large_configuration.ts";
import { SizedProbe } from "./sized_probe.ts";
import { TARGET_LIMIT, TARGET_SIZE } from "./target_size.ts";

const TEAM_SIZES = [1_000, 10_000, TARGET_SIZE.teams];
const NEXT_OFFSET = 1;

function buildState(teams: number): ConfigurationState {
  const configuration = buildLargeConfiguration({
    services: TARGET_SIZE.services,
    servers: 1_000,
    routes: 1_000,
    teams,
  });
  return {
    ...INITIAL_CONFIGURATION_STATE,
    configuration: ConfigurationTables.load(configuration),
    nextOffset: NEXT_OFFSET,
  };
}

// Returns the bytes of all replies of the serving VM.
async function measureTransferBytes(
  state: ConfigurationState,
): Promise<number> {
  const encoder = new ConfigurationEncoder();
  let bytes = 0;
  const fetched = await fetchState(0, (request) => {
    const reply = encoder.buildReply(request, state);
    bytes += reply.content.length;
    return Promise.resolve(reply);
  });
  if (fetched === undefined) {
    throw new Error("the peer delivered no complete configuration");
  }
  return bytes;
}

async function measureTransferMs(teams: number): Promise<number> {
  const state = buildState(teams);
  const before = process.cpuUsage();
  await measureTransferBytes(state);
  const used = process.cpuUsage(before);
  return (used.user + used.system) / 1_000;
}

/**
 * Builds the probes of a start from a peer.
 *
 * @returns probes of transferred bytes and processor time
 */
export function buildStartProbes(): readonly CapacityProbe[] {
  const teams = { sizeUnit: "teams", targetSize: TARGET_SIZE.teams };
  const role = "VM, at its start";
  return [
    new SizedProbe(
      {
        ...teams,
        role,
        id: "peer-start-bytes-by-teams",
        resource: "bytes fetched from another VM with the log away",
        unit: "B",
        limit: undefined,
        mechanism: "compressed checkpoint in parts of 1 MiB",
      },
      TEAM_SIZES,
      (size) => measureTransferBytes(buildState(size)),
    ),
    new SizedProbe(
      {
        ...teams,
        role,
        id: "peer-start-cpu-by-teams",
        resource: "processor time of both VMs, encoding included",
        unit: "ms",
        limit: TARGET_LIMIT.configurationInForceMs,
        mechanism: "encoded once per version",
      },
      TEAM_SIZES,
      measureTransferMs,
    ),
  ];
}
