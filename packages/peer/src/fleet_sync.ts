/** Messages through which the VMs of a fleet synchronize their state. */

import type { RequestListener } from "node:http";

import type { LogPosition } from "@limpetford/core/fleet/log_position";
import type { ServerChanges } from "@limpetford/core/fleet/server_changes";
import type { SuspicionStatus } from "@limpetford/core/quarantine/suspicion";
import type { FleetConfiguration } from "@limpetford/domain/fleet_configuration";
import type { VmId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";

/** Claim of a VM that it is a leader, which is a VM that serves callers. */
export interface LeadClaim {
  readonly vm: VmId;
  /** Wall-clock time since which the VM is a leader, in milliseconds. */
  readonly sinceMs: number;
  /** Time since the VM itself last sent this claim, in milliseconds. */
  readonly ageMs: number;
  /** Rate of requests that callers send to the VM. */
  readonly requestsPerSecond: number;
}

/** Evidence on a backend server, and whether the link may be at fault. */
export type EvidenceRow = readonly [
  server: string,
  evidence: string,
  isLinkFailure: boolean,
];

/** A run of a request that the crash of a server ended. */
export interface CrashedRunRow {
  readonly id: string;
  readonly server: string;
  /** Time from the dispatch to the crash, in milliseconds. */
  readonly ranMs: number;
  /** Time since the crash, in milliseconds. */
  readonly ageMs: number;
  /**
   * True if the server certainly ran after the dispatch; absent in messages of
   * VMs that run an earlier version.
   */
  readonly wasServerRunning?: boolean | undefined;
  /**
   * True if its VM had given it up before the crash; absent in messages of VMs
   * that run an earlier version.
   */
  readonly wasGivenUp?: boolean | undefined;
  /**
   * True if servers that had not run the request crashed shortly before; absent
   * if not, and in messages of VMs that run an earlier version.
   */
  readonly wasAmidOthers?: boolean | undefined;
}

/** What the sender knows of a request that may crash servers. */
export interface SuspicionRow {
  readonly fingerprint: string;
  /** Number of times that the request was cleared. */
  readonly generation: number;
  readonly status: SuspicionStatus;
  readonly runs: readonly CrashedRunRow[];
}

/** A server that the sender has seen crash. */
export type CrashRow = readonly [server: string, ageMs: number];

/** Suspicions that the receiver lacks, by revisions of sender and receiver. */
export interface SuspicionUpdate {
  readonly rows: readonly SuspicionRow[];
  /** Revision of the sender's suspicions up to which `rows` are complete. */
  readonly revision: number;
  /** Revision of the receiver's suspicions up to which the sender has them. */
  readonly seenRevision: number;
  /**
   * True if the receiver then has all that the store kept when the sender
   * learned of it; absent in messages of VMs that run an earlier version.
   */
  readonly isComplete?: boolean;
}

/** Evidence that is sent at once instead of with the next exchange. */
export interface EvidenceNotice {
  readonly from: string;
  readonly evidence: readonly EvidenceRow[];
  /** Absent in notices of VMs that run an earlier version. */
  readonly suspicions?: readonly SuspicionRow[];
  /** Like `suspicions`. */
  readonly crashes?: readonly CrashRow[];
}

/** Empty reply, which only acknowledges that the message arrived. */
export type EmptyReply = Readonly<Record<string, never>>;

/** Evidence, load and demand at a VM that serves callers. */
export interface ServingReport {
  readonly evidence: readonly EvidenceRow[];
  /** Backend servers, each with the VM's number of requests in flight there. */
  readonly loads: readonly (readonly [string, number])[];
  /** Teams, each with its requests per second at the VM. */
  readonly demand: readonly (readonly [string, number])[];
}

/** A timestamp of a VM's clock that another VM echoes back to it. */
export interface ClockEcho {
  /** Wall-clock start of the process that took the timestamp. */
  readonly startedAtMs: number;
  /** Monotonic clock of that process, in milliseconds. */
  readonly clockMs: number;
}

/** Server states that the receiver lacks, by revisions of both sides. */
export interface ServersUpdate extends ServerChanges {
  /** Revision of the receiver's servers up to which the sender has them. */
  readonly seenRevision: number;
  /** Position of the next record that the sender will read; absent if none. */
  readonly position?: LogPosition;
  /** Like `configurationAgeMs`, for the server announcements. */
  readonly ageMs: number | null;
}

/** State of the sender, and the changes that the receiver does not have yet. */
export interface SyncMessage {
  readonly from: VmId;
  /** Wall-clock time of the sender's start, in milliseconds. */
  readonly startedAtMs: number;
  /** Monotonic clock of the sender, in milliseconds. */
  readonly clockMs: number;
  /**
   * Newest timestamp of the receiver's clock that the sender has. It bounds the
   * age of the message, which was built after it, however late it is received.
   */
  readonly echo?: ClockEcho;
  /** Record of the sender, for a receiver that may not have it. */
  readonly record?: Vm;
  /** Build of the sender; absent in messages of VMs that run an earlier version. */
  readonly build?: string;
  /** True if the sender has the receiver's record. */
  readonly knowsReceiver: boolean;
  readonly isLeaving: boolean;
  /** Claims of the VMs that serve callers, as far as the sender knows. */
  readonly leads: readonly LeadClaim[];
  /**
   * Era of the store as far as the sender knows; absent in messages of VMs that
   * run an earlier version, whose configuration and servers are not read.
   */
  readonly storeEra?: number;
  /** Version of the sender's configuration; -1 if it has none. */
  readonly configurationVersion: number;
  /** Where the log keeps that configuration; absent if it has none. */
  readonly configurationPosition?: LogPosition;
  /**
   * Time since the configuration was last known to be the newest, in
   * milliseconds; null if it never was.
   */
  readonly configurationAgeMs: number | null;
  readonly servers: ServersUpdate;
  /** Number of VMs that the sender knows. */
  readonly vmCount: number;
  /**
   * Digest of the list of VMs that the sender knows; absent in messages of VMs
   * that run an earlier version.
   */
  readonly vmListDigest?: number;
  /**
   * Version of compressed messages that the sender reads; absent in messages of
   * VMs that run an earlier version, which read none.
   */
  readonly codec?: number;
  readonly configuration?: FleetConfiguration;
  readonly vms?: readonly Vm[];
  readonly report?: ServingReport;
  /** Absent in messages of VMs that run an earlier version. */
  readonly suspicions?: SuspicionUpdate;
  /** Like `suspicions`. */
  readonly serverLimits?: readonly ServerLimitRow[];
  /** Absent while the sender knows of no VM that has lost a service. */
  readonly reach?: readonly VmReachRow[];
}

/** Which services a VM has lost, as its links to their servers failed. */
export interface VmReachRow {
  readonly vm: string;
  /** Services to none of whose servers it can connect. */
  readonly lostServices: readonly string[];
  /** Time since it last reached any server, in milliseconds; null if never. */
  readonly reachedAgeMs: number | null;
  /** Time since this was true, in milliseconds. */
  readonly ageMs: number;
}

/** Rate limit of a backend server, or the end of one. */
export interface ServerLimitRow {
  readonly server: string;
  /** Wall-clock start time of the server that named it, in milliseconds. */
  readonly startedAtMs: number;
  /** For all VMs together; absent if the limit has ended. */
  readonly requestsPerSecond?: number;
  /** Time since it was last known to hold, in milliseconds. */
  readonly ageMs: number;
}

/**
 * Asks the VM that grants the tokens of a backend server's rate limit for one.
 */
export interface ServerTokenRequest {
  /** The limit as far as the sender knows it. */
  readonly limit: ServerLimitRow;
  /** Availability zone of the server. */
  readonly zone: string;
}

/** Proof that a VM granted a token, for the report of the response. */
export interface TokenGrant {
  readonly vm: VmId;
  /** Wall-clock start time of the VM's process, in milliseconds. */
  readonly startedAtMs: number;
  /** Monotonic clock of that process, in milliseconds. */
  readonly clockMs: number;
}

/** Reply to a {@link ServerTokenRequest}. */
export type ServerTokenReply =
  | { readonly kind: "granted"; readonly grant: TokenGrant }
  /** `retryAfterMs` until the next token. */
  | { readonly kind: "refused"; readonly retryAfterMs: number }
  /** The receiver does not grant this server's tokens. */
  | { readonly kind: "not-owner" }
  /** The server no longer names a limit. */
  | { readonly kind: "ended"; readonly ageMs: number };

/** What a response says of its server's rate limit, for the VM that grants. */
export interface ServerLimitReport {
  readonly server: string;
  readonly startedAtMs: number;
  /** Absent if the response names no limit. */
  readonly requestsPerSecond?: number;
  /** Grant of the request; absent if it was sent without one. */
  readonly grant?: TokenGrant;
}

/** Requests one token of a team from a VM that serves callers. */
export interface TokenRequest {
  readonly team: string;
}

/** Reply to a {@link TokenRequest}. */
export interface TokenReply {
  readonly isGranted: boolean;
  /** Time until a token is expected to be available, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Handlers of the calls between VMs. */
export interface FleetSyncHandlers {
  /** Applies another VM's message and returns this VM's. */
  readonly handleExchange: (message: SyncMessage) => SyncMessage;
  /** Applies evidence. */
  readonly handleEvidence: (notice: EvidenceNotice) => void;
  /** Grants or refuses a token. */
  readonly handleTokenRequest: (request: TokenRequest) => TokenReply;
  /** Grants or refuses a token of a server's rate limit. */
  readonly handleServerTokenRequest: (
    request: ServerTokenRequest,
  ) => ServerTokenReply;
  /** Applies what a response says of its server's rate limit. */
  readonly handleServerLimitReport: (report: ServerLimitReport) => void;
  /** Serves a request of a caller that another VM forwards. */
  readonly handleForwarded: RequestListener;
}
