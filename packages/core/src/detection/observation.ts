/** Classes of requests, and the gray alternatives defined over them. */

/** Class of one request, by outcome and by its route's usual latency. */
export const OBSERVATION = {
  /** Served within the route's 90th percentile. */
  fast: 0,
  /** Served between the 90th and the 99th percentile. */
  slow: 1,
  /** Served or still running above the 99th percentile. */
  verySlow: 2,
  /** Failed, refused, reset, cut off or timed out. */
  bad: 3,
} as const;
/** Index of a request class of {@link OBSERVATION}. */
export type Observation = typeof OBSERVATION[keyof typeof OBSERVATION];

/** All classes, from best to worst. */
export const OBSERVATIONS: readonly Observation[] = [0, 1, 2, 3];

/** Probability or count per class, in the order of {@link OBSERVATIONS}. */
export type ObservationMix = readonly [number, number, number, number];

/** Class probabilities of a healthy server; baselines are never better. */
export const HEALTHY_MIX: ObservationMix = [0.898, 0.09, 0.01, 0.002];

/** An alternative hypothesis of the tests: one kind of gray server. */
export interface GrayAlternative {
  readonly name: string;
  /** Class probabilities of such a server. */
  readonly mix: ObservationMix;
  /** True if requests are served late or never, rather than failed. */
  readonly isLatency: boolean;
}

/** All alternatives; each server is tested against each of them. */
export const GRAY_ALTERNATIVES: readonly GrayAlternative[] = [
  { name: "fails-all", mix: [0.04, 0.03, 0.13, 0.8], isLatency: false },
  { name: "fails-half", mix: [0.48, 0.05, 0.07, 0.4], isLatency: false },
  { name: "fails-some", mix: [0.79, 0.08, 0.03, 0.1], isLatency: false },
  { name: "slow", mix: [0.2, 0.15, 0.55, 0.1], isLatency: true },
  { name: "hangs", mix: [0.03, 0.02, 0.9, 0.05], isLatency: true },
];
