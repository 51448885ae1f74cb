/** Monotone facts that VMs exchange by gossip. */

import type {
  ConfigurationVersion,
  KeyHash,
  ServerId,
  ShardId,
} from "./ids.ts";
import type { VmIncarnation } from "./vm.ts";

/**
 * A fact that is applied on receipt and never revoked. It is superseded only
 * by a fact about the same subject with a higher counter, generation, version
 * or epoch. At equal counters, a suspicion supersedes its refutation.
 */
export type MonotoneFact =
  | { readonly kind: "key-withdrawn"; readonly key: KeyHash }
  | { readonly kind: "server-leaving"; readonly server: ServerId }
  | { readonly kind: "vm-leaving"; readonly incarnation: VmIncarnation }
  /** Failure suspicion of a VM, or its refutation by the suspected VM. */
  | {
    readonly kind: "vm-liveness";
    readonly incarnation: VmIncarnation;
    /** Incremented only by the VM itself, each time it refutes a suspicion. */
    readonly counter: number;
    readonly isSuspected: boolean;
  }
  | {
    readonly kind: "request-quarantined";
    readonly fingerprint: string;
    /** Incremented each time this fingerprint is quarantined or released. */
    readonly generation: number;
    readonly isLifted: boolean;
  }
  | {
    readonly kind: "configuration-version";
    readonly version: ConfigurationVersion;
  }
  | {
    readonly kind: "shard-ownership";
    readonly shard: ShardId;
    readonly epoch: number;
    readonly holder: VmIncarnation;
    readonly standby: VmIncarnation | undefined;
  };
