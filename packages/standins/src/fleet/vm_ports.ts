/** Ports of every VM under test. */

/** Ports by what they serve. */
export const VM_PORTS = {
  caller: 18_001,
  ready: 18_002,
  directory: 18_003,
  peer: 18_004,
  metrics: 18_005,
} as const;
