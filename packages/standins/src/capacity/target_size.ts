/** Fleet size that the users expect within two years, and their limits. */

/** Expected counts and rates of the whole fleet. */
export const TARGET_SIZE = {
  vms: 570,
  servers: 8_500,
  services: 160,
  requestsPerSecond: 160_000,
  routes: 2_100,
  teams: 57_000,
  regions: 3,
  zones: 9,
  configurationChangesPerDay: 1_800,
  vmFailuresPerDay: 23,
  vmReplacementsPerDay: 630,
} as const;

/** Limits that the users state for one VM or for the fleet. */
export const TARGET_LIMIT = {
  controlCoreShare: 0.013,
  controlMemoryBytes: 32 * 1024 * 1024,
  controlBytesPerSecond: 3 * 1024,
  configurationInForceMs: 11_000,
  addedLatencyP99Ms: 1.4,
  logAppendsPerSecond: 200,
} as const;
