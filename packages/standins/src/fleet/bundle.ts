/** Bundles the program whose processes a test starts. */

import { execFileSync } from "node:child_process";

/**
 * Output directory of the bundled program, relative to the workspace. Each jest
 * worker has its own, since the bundle must not change while processes start.
 */
export const BUNDLE_DIRECTORY = `out/bundle-${
  process.env["JEST_WORKER_ID"] ?? "0"
}`;

/**
 * Bundles this working copy.
 *
 * @param directory - output directory; that of this jest worker by default
 * @throws Error if the bundler fails
 */
export function buildBundle(directory = BUNDLE_DIRECTORY): void {
  execFileSync(process.execPath, ["tools/bundle.js", directory]);
}
