/** Bounds within which the ownership model is explored completely. */

import type { ModelBudget } from "./model_state.ts";

/** A named set of bounds. */
export interface ModelBounds {
  readonly name: string;
  /** Number of VMs. */
  readonly vms: number;
  readonly budget: ModelBudget;
}

const NO_STEPS: ModelBudget = {
  kills: 0,
  records: 0,
  claims: 0,
  resignations: 0,
  isLossy: true,
};

/** Bounds of the full model check, `npm run model`. */
export const MODEL_BOUNDS: readonly ModelBounds[] = [
  {
    name: "two takeovers or replacements, two VMs killed",
    vms: 3,
    budget: { ...NO_STEPS, records: 2, kills: 2 },
  },
  {
    name: "two claims of one key, one takeover or replacement, one VM killed",
    vms: 3,
    budget: { ...NO_STEPS, records: 1, kills: 1, claims: 2 },
  },
  {
    name: "a planned handover, two takeovers or replacements",
    vms: 3,
    budget: { ...NO_STEPS, records: 2, resignations: 1 },
  },
  {
    name: "a planned handover with a claim, one takeover or replacement",
    vms: 3,
    budget: { ...NO_STEPS, records: 1, claims: 1, resignations: 1 },
  },
];

/** Bounds small enough for the unit tests. */
export const SMALL_MODEL_BOUNDS: readonly ModelBounds[] = [
  {
    name: "one takeover or replacement, one VM killed",
    vms: 3,
    budget: { ...NO_STEPS, records: 1, kills: 1 },
  },
  {
    name: "two claims of one key and one record, no reply lost",
    vms: 3,
    budget: { ...NO_STEPS, records: 1, claims: 2, isLossy: false },
  },
];
