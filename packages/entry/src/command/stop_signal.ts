/** Waits for the signal that stops the process gracefully. */

import { writeSync } from "node:fs";

const STDERR = 2;
const SECOND_SIGINT_TEXT =
  "second SIGINT: stopping at once, requests in flight are cut\n";

/**
 * Waits for the first SIGTERM or SIGINT. A further SIGTERM changes nothing, so that
 * it cuts no request in flight; a second SIGINT says so and ends the process at
 * once, as a person at a terminal expects.
 *
 * @returns resolves with the first signal
 */
export function waitStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.on("SIGTERM", () => {
      resolve();
    });
    process.once("SIGINT", () => {
      process.once("SIGINT", stopAtOnce);
      resolve();
    });
  });
}

// Without a handler the signal ends the process, so that a shell sees its cause.
function stopAtOnce(): void {
  try {
    writeSync(STDERR, SECOND_SIGINT_TEXT);
  } finally {
    process.kill(process.pid, "SIGINT");
  }
}
