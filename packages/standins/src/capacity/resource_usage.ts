/** Measures the memory and processor time that a function uses. */

/**
 * Measures how much memory a value retains.
 *
 * @param build - builds the value
 * @returns bytes of heap and array buffers
 * @throws Error without node --expose-gc
 */
export function measureRetainedBytes(build: () => unknown): number {
  const before = measureUsedBytes();
  const value = build();
  const after = measureUsedBytes();
  // This use keeps the value reachable until the second measurement.
  return value === undefined ? 0 : after - before;
}

/**
 * Measures the processor time of a function.
 *
 * @param run - function to measure
 * @param repeats - number of runs to average over
 * @returns milliseconds of processor time per run, user and system
 */
export function measureCpuMs(run: () => void, repeats: number): number {
  const before = process.cpuUsage();
  for (let index = 0; index < repeats; index += 1) {
    run();
  }
  const used = process.cpuUsage(before);
  return (used.user + used.system) / 1_000 / repeats;
}

function measureUsedBytes(): number {
  const collect = globalThis.gc;
  if (collect === undefined) {
    throw new Error(
      "Memory can be measured only with node --expose-gc, as npm run capacity does.",
    );
  }
  collect();
  collect();
  const usage = process.memoryUsage();
  return usage.heapUsed + usage.arrayBuffers;
}
