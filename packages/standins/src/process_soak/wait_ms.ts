/** Delay by the wall clock. */

/**
 * Resolves after a delay.
 *
 * @param milliseconds - length of the delay
 */
export async function waitMs(milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}
