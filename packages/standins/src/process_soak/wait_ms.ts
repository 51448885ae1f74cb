/** Pauses of a soak. */

/**
 * Waits.
 *
 * @param milliseconds - how long
 */
export async function waitMs(milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}
