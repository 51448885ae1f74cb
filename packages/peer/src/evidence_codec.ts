/** Codec of evidence reports and ejection decisions sent between VMs. */

import type {
  EjectionDecision,
  ServerMode,
} from "@limpetford/core/ejection/ejection_decision";
import { SERVER_MODE } from "@limpetford/core/ejection/ejection_decision";
import type {
  BucketCount,
  EvidenceReport,
  RouteEvidence,
} from "@limpetford/core/evidence/evidence_report";
import { hashName } from "@limpetford/core/evidence/name_hash";
import {
  type RouteId,
  type ServerId,
  type ServiceId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";

import type {
  DecisionMessage,
  ReportRequest,
  RouteEvidenceEntry,
} from "./generated/evidence.ts";

/**
 * Encodes the evidence on one route at one server. Names are sent as hashes.
 *
 * @param evidence - latency counts and outcomes of the requests
 * @returns entry of a report message
 */
export function encodeEvidence(evidence: RouteEvidence): RouteEvidenceEntry {
  return {
    server: hashName(evidence.server),
    route: hashName(evidence.route),
    latencies: evidence.latencies.flatMap(({ bucket, count }) => [
      bucket,
      count,
    ]),
    ...evidence.outcomes,
  };
}

/** Names to which the hashes in a report are resolved. */
export interface ReportNames {
  readonly servers: readonly ServerId[];
  readonly routes: readonly RouteId[];
}

/**
 * Decodes a report. Ignores entries on unknown servers or routes.
 *
 * @param message - report message of a VM
 * @param names - servers and routes of the service
 * @returns the report, with names in place of hashes
 */
export function decodeReport(
  message: ReportRequest,
  names: ReportNames,
): EvidenceReport {
  const servers = new Map(names.servers.map((id) => [hashName(id), id]));
  const routes = new Map(names.routes.map((id) => [hashName(id), id]));
  const entries: RouteEvidence[] = [];
  for (const entry of message.entries) {
    const server = servers.get(entry.server);
    const route = routes.get(entry.route);
    if (server !== undefined && route !== undefined) {
      entries.push(decodeEvidence(entry, { server, route }));
    }
  }
  return {
    service: toId<ServiceId>(message.service),
    vm: toId<VmId>(message.vm),
    zone: toId<ZoneId>(message.zone),
    entries,
  };
}

/**
 * Encodes an ejection decision.
 *
 * @param decision - modes of the service's servers, and latency references
 * @returns message to the other VMs
 */
export function encodeDecision(decision: EjectionDecision): DecisionMessage {
  return {
    service: decision.service,
    epoch: decision.epoch,
    revision: decision.revision,
    servers: decision.servers.map((entry) => ({
      ...entry,
      probers: [...entry.probers],
    })),
    references: decision.references.map((reference) => ({ ...reference })),
  };
}

/**
 * Decodes an ejection decision. Ignores servers with a mode that this version
 * does not know, so they stay in full use.
 *
 * @param message - decision message of the shard's holder
 * @returns the decision
 */
export function decodeDecision(message: DecisionMessage): EjectionDecision {
  return {
    service: toId<ServiceId>(message.service),
    epoch: message.epoch,
    revision: message.revision,
    servers: message.servers.flatMap((entry) => {
      const mode = findMode(entry.mode);
      return mode === undefined ? [] : [{
        ...entry,
        mode,
        server: toId<ServerId>(entry.server),
        probers: entry.probers.map((vm) => toId<VmId>(vm)),
      }];
    }),
    references: message.references.map((reference) => ({
      ...reference,
      route: toId<RouteId>(reference.route),
    })),
  };
}

function decodeEvidence(
  entry: RouteEvidenceEntry,
  names: { readonly server: ServerId; readonly route: RouteId },
): RouteEvidence {
  const latencies: BucketCount[] = [];
  for (let index = 0; index + 1 < entry.latencies.length; index += 2) {
    latencies.push({
      bucket: entry.latencies[index] ?? 0,
      count: entry.latencies[index + 1] ?? 0,
    });
  }
  const { failed, refused, reset, cut, timedOut, shed, late, overdue } = entry;
  return {
    ...names,
    latencies,
    outcomes: { failed, refused, reset, cut, timedOut, shed, late, overdue },
  };
}

function findMode(text: string): ServerMode | undefined {
  return Object.values(SERVER_MODE).find((mode) => mode === text);
}
