/** Loads the settings of a process and the certificate files they refer to. */

import { readFile } from "node:fs/promises";
import * as path from "node:path";

import {
  type RegionId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";
import { makeError, makeOk, type Result } from "@limpetford/domain/result";
import type { Vm } from "@limpetford/domain/vm";
import type { PeerTls } from "@limpetford/peer/peer_tls";

import type { CallerServerLimits } from "../http/caller_server_limits.ts";
import type { CallerTls, VmSettings } from "../vm/vm_settings.ts";
import type { SettingsError } from "./settings_error.ts";
import { parseSettings } from "./settings_parser.ts";
import type { SettingsDocument } from "./settings_schema.ts";

/** Settings of a process, read once at its start. */
export interface ProcessSettings {
  readonly vm: VmSettings;
  readonly platform: SettingsDocument["platform"];
  readonly telemetry: SettingsDocument["telemetry"];
}

/**
 * Loads the settings file and the certificate and key files it refers to.
 *
 * @param file - path of the YAML file; relative paths in it are resolved
 * against its directory
 * @param startedAtMs - wall-clock start time of this process, in milliseconds
 * @returns the settings, or all errors that were found
 */
export async function loadProcessSettings(
  file: string,
  startedAtMs: number,
): Promise<Result<ProcessSettings, readonly SettingsError[]>> {
  try {
    const parsed = parseSettings(await readFile(file, "utf8"));
    if (!parsed.ok) {
      return parsed;
    }
    const document = parsed.value;
    const directory = path.dirname(file);
    const { callerTls, peerTls } = await loadTls(document.tls, directory);
    return makeOk({
      vm: {
        self: buildVm(document, startedAtMs),
        operatorAddress: document.addresses.operator,
        callerLimits: buildCallerLimits(document.limits),
        drainTimeoutMs: document.limits.drainTimeout,
        ...callerTls === undefined ? {} : { callerTls },
        ...peerTls === undefined ? {} : { peerTls },
      },
      platform: document.platform,
      telemetry: document.telemetry,
    });
  } catch (error) {
    const failure = error as NodeJS.ErrnoException;
    return makeError([{
      kind: "unreadable",
      file: failure.path ?? file,
      cause: failure.code ?? failure.message,
    }]);
  }
}

function buildVm(document: SettingsDocument, startedAtMs: number): Vm {
  const { vm, addresses } = document;
  return {
    incarnation: { vm: toId<VmId>(vm.id), startedAtMs },
    zone: toId<ZoneId>(vm.zone),
    region: toId<RegionId>(vm.region),
    callerAddress: addresses.caller,
    peerAddress: addresses.peer,
    weight: vm.weight,
  };
}

function buildCallerLimits(
  limits: SettingsDocument["limits"],
): CallerServerLimits {
  const limitValues = {
    maxConnections: limits.callerConnections,
    headersTimeoutMs: limits.headersTimeout,
    requestTimeoutMs: limits.requestTimeout,
    keepAliveTimeoutMs: limits.keepAliveTimeout,
    maxHeaderBytes: limits.headers,
    bodyBudgetBytes: limits.bodiesInMemory,
    streamAboveBytes: limits.streamBodiesAbove,
    keptAnswerBytes: limits.keptAnswer,
    lingerMs: limits.linger,
  };
  const backend = {
    connectTimeoutMs: limits.backendConnectTimeout,
    idleTimeoutMs: limits.backendIdleTimeout,
  };
  return { ...removeUndefined(limitValues), backend: removeUndefined(backend) };
}

type Defined<T> = { [Name in keyof T]?: NonNullable<T[Name]> };

function removeUndefined<T extends object>(values: T): Defined<T> {
  const entries = Object.entries(values).filter(([, value]) =>
    value !== undefined
  );
  return Object.fromEntries(entries) as Defined<T>;
}

async function loadTls(
  tls: SettingsDocument["tls"],
  directory: string,
): Promise<{
  readonly callerTls: CallerTls | undefined;
  readonly peerTls: PeerTls | undefined;
}> {
  const load = (name: string): Promise<Buffer> =>
    readFile(path.resolve(directory, name));
  const { caller, peer } = tls;
  const callerTls = caller === undefined ? undefined : {
    certificate: await load(caller.certificate),
    privateKey: await load(caller.privateKey),
  };
  const peerTls = peer === undefined ? undefined : {
    authority: await load(peer.authority),
    certificate: await load(peer.certificate),
    privateKey: await load(peer.privateKey),
  };
  return { callerTls, peerTls };
}
