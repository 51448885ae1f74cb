/** Records of the configuration stream in the replicated log. */

import type { Configuration } from "./configuration.ts";
import type {
  ConfigurationVersion,
  KeyHash,
  RouteId,
  ServerId,
  ServiceId,
  TeamId,
} from "./ids.ts";
import type { Route } from "./route.ts";
import type { BackendServer, Service } from "./service.ts";
import type { CallerKey, Team } from "./team.ts";

/** One change to a configuration: inserts, replaces or removes a record. */
export type ConfigurationChange =
  | { readonly kind: "put-service"; readonly service: Service }
  | { readonly kind: "remove-service"; readonly id: ServiceId }
  | { readonly kind: "put-server"; readonly server: BackendServer }
  | { readonly kind: "remove-server"; readonly id: ServerId }
  | { readonly kind: "put-route"; readonly route: Route }
  | { readonly kind: "remove-route"; readonly id: RouteId }
  | { readonly kind: "put-team"; readonly team: Team }
  | { readonly kind: "remove-team"; readonly id: TeamId }
  | { readonly kind: "put-key"; readonly key: CallerKey }
  | { readonly kind: "remove-key"; readonly hash: KeyHash };

/** A record of the configuration stream: proposal, revocation or snapshot. */
export type ConfigurationRecord =
  /** Takes effect if it is the first valid proposal for its base version. */
  | {
    readonly kind: "proposal";
    /** Unique; lets the proposer find its record after a lost response. */
    readonly id: string;
    readonly basedOn: ConfigurationVersion;
    readonly proposer: string;
    readonly proposedAtMs: number;
    readonly changes: readonly ConfigurationChange[];
  }
  /** Revokes a key permanently, independently of the version in force. */
  | { readonly kind: "key-withdrawn"; readonly key: KeyHash }
  /** Snapshot of the state after all records before `upToOffset`. */
  | {
    readonly kind: "checkpoint";
    readonly upToOffset: number;
    readonly configuration: Configuration;
    readonly withdrawnKeys: readonly KeyHash[];
  };

/** Name of the configuration stream in the log. */
export const CONFIGURATION_STREAM = "configuration";
