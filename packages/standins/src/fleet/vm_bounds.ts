/** Bounds of every VM under test. */

/** Time within which a process must exit after SIGTERM, in seconds. */
export const GRACE_PERIOD_SECONDS = 4;

/** Bounds as the settings of a VM name them. */
export const VM_BOUNDS = {
  gracePeriodSeconds: GRACE_PERIOD_SECONDS,
  revocationSeconds: 5,
  configurationSeconds: 2,
  drainSeconds: 2,
  retryBudgetRatio: 0.2,
  retryBudgetSlack: 60,
  quotaTolerance: 0,
} as const;
