/** Probes of memory and processor time that a VM's configuration needs. */

import {
  type ConfigurationState,
  foldRecord,
  INITIAL_CONFIGURATION_STATE,
} from "@limpetford/core/configuration/configuration_fold";
import { ConfigurationIndex } from "@limpetford/core/configuration/configuration_index";
import { ConfigurationTables } from "@limpetford/core/configuration/configuration_tables";
import {
  decodeConfigurationRecord,
  encodeConfigurationRecord,
} from "@limpetford/domain/configuration_codec";
import type { ConfigurationRecord } from "@limpetford/domain/configuration_record";

import { CapacityProbe } from "./capacity_probe.ts";
import {
  buildLargeConfiguration,
  buildTeam,
  type ConfigurationSize,
} from "./large_configuration.ts";
import { measureCpuMs, measureRetainedBytes } from "./resource_usage.ts";
import { TARGET_LIMIT, TARGET_SIZE } from "./target_size.ts";

/** Counts of the record kinds that a probe does not vary. */
const SMALL_CONFIGURATION: ConfigurationSize = {
  services: 10,
  servers: 100,
  routes: 50,
  teams: 100,
};
const TEAM_SIZES = [1_000, 10_000, TARGET_SIZE.teams];
const SECONDS_PER_DAY = 86_400;
const MS_PER_SECOND = 1_000;
/** Changes applied per measurement. */
const FOLD_REPEATS = 200;
/** Smallest number of sizes for a linear fit. */
const MIN_SIZE_COUNT = 3;

function encodeCheckpoint(size: ConfigurationSize): Uint8Array {
  return encodeConfigurationRecord({
    kind: "checkpoint",
    upToOffset: 1,
    configuration: buildLargeConfiguration(size),
    withdrawnKeys: [],
  });
}

// Encodes and decodes the records, because records read from the log share no
// strings with others.
function decodeState(size: ConfigurationSize): ConfigurationState {
  const decoded = decodeConfigurationRecord(encodeCheckpoint(size));
  if (!decoded.ok || decoded.value.kind !== "checkpoint") {
    throw new Error(
      "the checkpoint encoded for the measurement could not be decoded",
    );
  }
  const { configuration } = decoded.value;
  return {
    ...INITIAL_CONFIGURATION_STATE,
    configuration: ConfigurationTables.load(configuration),
  };
}

/** Memory of the configuration and its index, by one kind of record. */
class ConfigurationMemoryProbe extends CapacityProbe {
  readonly description;
  readonly sizes: readonly number[];
  readonly #kind: "servers" | "routes" | "teams";

  constructor(kind: "servers" | "routes" | "teams", sizes: readonly number[]) {
    super();
    this.#kind = kind;
    this.sizes = sizes;
    this.description = {
      id: `configuration-memory-by-${kind}`,
      role: "VM, for control",
      resource: `memory of the configuration by ${kind}`,
      unit: "B",
      sizeUnit: kind,
      targetSize: TARGET_SIZE[kind],
      limit: TARGET_LIMIT.controlMemoryBytes,
      mechanism: "records shared by state and index; one index per version",
    };
  }

  override measure(size: number): Promise<number> {
    return Promise.resolve(measureRetainedBytes(() => {
      const state = decodeState({ ...SMALL_CONFIGURATION, [this.#kind]: size });
      return [state, new ConfigurationIndex(state.configuration)];
    }));
  }
}

/** Encoded size of the checkpoint from which a VM starts. */
class CheckpointBytesProbe extends CapacityProbe {
  readonly description = {
    id: "checkpoint-bytes-by-teams",
    role: "VM, at its start",
    resource: "bytes of a checkpoint, read by each VM that starts",
    unit: "B",
    sizeUnit: "teams",
    targetSize: TARGET_SIZE.teams,
    limit: undefined,
    mechanism: "checkpoint on the log, or the same from a peer",
  };
  readonly sizes = TEAM_SIZES;

  override measure(size: number): Promise<number> {
    return Promise.resolve(
      encodeCheckpoint({ ...SMALL_CONFIGURATION, teams: size }).length,
    );
  }
}

/** Processor time to start from a checkpoint. */
class StartTimeProbe extends CapacityProbe {
  readonly description = {
    id: "start-cpu-by-teams",
    role: "VM, at its start",
    resource: "processor time to decode a checkpoint and build the index",
    unit: "ms",
    sizeUnit: "teams",
    targetSize: TARGET_SIZE.teams,
    limit: TARGET_LIMIT.configurationInForceMs,
    mechanism: "one pass over the records",
  };
  readonly sizes = TEAM_SIZES;

  override measure(size: number): Promise<number> {
    const bytes = encodeCheckpoint({ ...SMALL_CONFIGURATION, teams: size });
    return Promise.resolve(measureCpuMs(() => {
      const decoded = decodeConfigurationRecord(bytes);
      if (decoded.ok && decoded.value.kind === "checkpoint") {
        new ConfigurationIndex(decoded.value.configuration);
      }
    }, 1));
  }
}

function buildChangeRecord(
  state: ConfigurationState,
  offset: number,
): ConfigurationRecord {
  return {
    kind: "proposal",
    id: "change",
    basedOn: state.configuration.version,
    proposer: "capacity",
    proposedAtMs: 0,
    changes: [{ kind: "put-team", team: buildTeam(offset) }],
  };
}

function measureChangeMs(teams: number): number {
  let state = decodeState({ ...SMALL_CONFIGURATION, teams });
  let index = new ConfigurationIndex(state.configuration);
  return measureCpuMs(() => {
    const offset = state.nextOffset;
    const record = buildChangeRecord(state, offset);
    state = foldRecord(state, { offset, record }).state;
    index = new ConfigurationIndex(state.configuration, index);
  }, FOLD_REPEATS);
}

/** Time for which one configuration change blocks the event loop. */
class ChangeStallProbe extends CapacityProbe {
  readonly description = {
    id: "change-stall-by-teams",
    role: "VM, for control",
    resource: "time for which one change of one team keeps the loop busy",
    unit: "ms",
    sizeUnit: "teams",
    targetSize: TARGET_SIZE.teams,
    limit: TARGET_LIMIT.addedLatencyP99Ms,
    mechanism: "changes folded into the tables and the index",
  };
  readonly sizes = TEAM_SIZES;

  override measure(size: number): Promise<number> {
    return Promise.resolve(measureChangeMs(size));
  }
}

/** Share of a core spent on the configuration changes of a day. */
class ChangeCpuProbe extends CapacityProbe {
  readonly description = {
    id: "change-cpu-by-teams",
    role: "VM, for control",
    resource: "share of a core for 1,800 changes a day",
    unit: "cores",
    sizeUnit: "teams",
    targetSize: TARGET_SIZE.teams,
    limit: TARGET_LIMIT.controlCoreShare,
    mechanism: "proposals carry differences, not whole sheets",
  };
  readonly sizes = TEAM_SIZES;

  override measure(size: number): Promise<number> {
    const perDayMs = measureChangeMs(size) *
      TARGET_SIZE.configurationChangesPerDay;
    return Promise.resolve(perDayMs / MS_PER_SECOND / SECONDS_PER_DAY);
  }
}

/**
 * Builds the configuration probes.
 *
 * @returns one probe per resource
 * @throws Error if a probe has fewer than three sizes
 */
export function buildConfigurationProbes(): readonly CapacityProbe[] {
  const probes = [
    new ConfigurationMemoryProbe("teams", TEAM_SIZES),
    new ConfigurationMemoryProbe("routes", [200, 1_000, TARGET_SIZE.routes]),
    new ConfigurationMemoryProbe("servers", [500, 2_000, TARGET_SIZE.servers]),
    new ChangeStallProbe(),
    new ChangeCpuProbe(),
    new CheckpointBytesProbe(),
    new StartTimeProbe(),
  ];
  for (const probe of probes) {
    if (probe.sizes.length < MIN_SIZE_COUNT) {
      throw new Error(
        `probe "${probe.description.id}" has fewer than three sizes`,
      );
    }
  }
  return probes;
}
