/** The build of the program that runs. */

// Set by tools/bundle.js; absent if the sources run without being bundled.
declare const LIMPETFORD_BUILD: string | undefined;

/** Build of sources that are not in a repository, or not bundled. */
export const UNKNOWN_BUILD = "unknown";

/** Short commit that the program was bundled from, or {@link UNKNOWN_BUILD}. */
export const BUILD: string = typeof LIMPETFORD_BUILD === "undefined"
  ? UNKNOWN_BUILD
  : LIMPETFORD_BUILD;
