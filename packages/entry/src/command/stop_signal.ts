/** Waits for the signal that stops the process gracefully. */

/**
 * Waits for the first SIGTERM or SIGINT. A further SIGTERM changes nothing, so that
 * it cuts no request in flight; a second SIGINT ends the process at once, as a
 * person at a terminal expects.
 *
 * @returns resolves with the first signal
 */
export function waitStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    const handleSignal = (): void => {
      resolve();
    };
    process.on("SIGTERM", handleSignal);
    process.once("SIGINT", handleSignal);
  });
}
