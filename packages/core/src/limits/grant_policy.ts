/**
 * Policies for the size of token grants. The VM that holds a team's shard (the
 * holder) has the team's token bucket and grants tokens from it to other VMs.
 */

/** State on which the size of a grant depends. */
export interface GrantContext {
  /** Requests waiting for a token at the requesting VM. */
  readonly needed: number;
  /** The team's recent requests per second at the requesting VM. */
  readonly demandPerSecond: number;
  /** Most tokens that the bucket can grant now. */
  readonly grantable: number;
  /** Capacity of the team's token bucket, in tokens. */
  readonly burst: number;
}

/**
 * Sizes grants, and tells VMs when to request the next one.
 */
export abstract class GrantPolicy {
  /**
   * Computes the size of a grant.
   *
   * @param context - demand of the VM and state of the bucket
   * @returns whole tokens, at most `grantable`; 0 grants nothing
   */
  abstract computeTokens(context: GrantContext): number;

  /**
   * Computes the low-water mark: a VM with fewer tokens prefetches a grant.
   *
   * @param demandPerSecond - recent requests per second at the VM
   * @returns tokens; 0 disables prefetching
   */
  abstract computeLowWaterMark(demandPerSecond: number): number;
}

/** Settings of {@link DemandGrantPolicy}. */
export interface DemandGrantOptions {
  /** Time for which a grant should cover the demand, in milliseconds. */
  readonly coverageMs: number;
  /** Time that requesting a grant takes, with a margin, in milliseconds. */
  readonly prefetchLeadMs: number;
  /** Largest share of the grantable tokens that one VM may prefetch. */
  readonly maxShare: number;
}

/** Settings for a fleet whose VMs are all in one region. */
export const DEFAULT_DEMAND_GRANT_OPTIONS: DemandGrantOptions = {
  coverageMs: 250,
  prefetchLeadMs: 20,
  maxShare: 0.25,
};

/**
 * Grants the waiting requests and the demand that is expected for a short time,
 * estimated from the VM's recent request rate.
 */
export class DemandGrantPolicy extends GrantPolicy {
  readonly #options: DemandGrantOptions;

  /**
   * Creates the policy.
   *
   * @param options - times to cover and largest share to prefetch
   */
  constructor(options: DemandGrantOptions = DEFAULT_DEMAND_GRANT_OPTIONS) {
    super();
    this.#options = options;
  }

  override computeTokens(context: GrantContext): number {
    const { needed, demandPerSecond, grantable } = context;
    const { coverageMs, maxShare } = this.#options;
    const prefetched = Math.min(
      Math.floor(demandPerSecond * coverageMs / 1_000),
      Math.floor(grantable * maxShare),
    );
    return Math.min(grantable, needed + prefetched);
  }

  override computeLowWaterMark(demandPerSecond: number): number {
    return Math.floor(demandPerSecond * this.#options.prefetchLeadMs / 1_000);
  }
}

/**
 * Grants one token per waiting request and never prefetches, so that every
 * request is checked at the holder.
 */
export class ExactGrantPolicy extends GrantPolicy {
  override computeTokens(context: GrantContext): number {
    return Math.min(context.grantable, context.needed);
  }

  override computeLowWaterMark(): number {
    return 0;
  }
}
