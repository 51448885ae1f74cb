/** Capacity probe built from a measurement function. */

import { CapacityProbe, type ProbeDescription } from "./capacity_probe.ts";

/** Measures at one size; the value is in the unit of the description. */
export type SizeMeasurement = (size: number) => number | Promise<number>;

/**
 * Measures by calling a function for each size.
 */
export class SizedProbe extends CapacityProbe {
  readonly description: ProbeDescription;
  readonly sizes: readonly number[];
  readonly #measureSize: SizeMeasurement;

  /**
   * Creates the probe without measuring.
   *
   * @param description - resource, target size and limit
   * @param sizes - at least three sizes, in ascending order
   * @param measureSize - called with each size
   */
  constructor(
    description: ProbeDescription,
    sizes: readonly number[],
    measureSize: SizeMeasurement,
  ) {
    super();
    this.description = description;
    this.sizes = sizes;
    this.#measureSize = measureSize;
  }

  override async measure(size: number): Promise<number> {
    return await this.#measureSize(size);
  }
}
