/** Base class of the probes that measure a resource at several sizes. */

import type { Point } from "./linear_fit.ts";

/** Measured resource, target size and limit of a probe. */
export interface ProbeDescription {
  /** Name of the row in the JSON, such as `configuration-memory-by-teams`. */
  readonly id: string;
  /** Role of a VM, or `log`; heads a table of the page. */
  readonly role: string;
  /** Measured resource, in words. */
  readonly resource: string;
  /** Unit of the measured values, such as `B/s`. */
  readonly unit: string;
  /** What the size counts, such as `teams`. */
  readonly sizeUnit: string;
  /** Size for which the value is extrapolated and compared with the limit. */
  readonly targetSize: number;
  /** Upper limit in `unit`; undefined where the users state none. */
  readonly limit: number | undefined;
  /** Mechanism that bounds the use, or what fails first and its replacement. */
  readonly mechanism: string;
}

/**
 * Measures one resource of the production code at several sizes.
 */
export abstract class CapacityProbe {
  abstract readonly description: ProbeDescription;
  /** At least three sizes, in ascending order. */
  abstract readonly sizes: readonly number[];

  /**
   * Measures at one size.
   *
   * @param size - number of things counted by the description's `sizeUnit`
   * @returns value in the description's `unit`
   */
  abstract measure(size: number): Promise<number>;

  /**
   * Measures at all sizes.
   *
   * @returns one point per size, in the order of the sizes
   */
  async measureAll(): Promise<readonly Point[]> {
    const points: Point[] = [];
    for (const size of this.sizes) {
      points.push({ size, value: await this.measure(size) });
    }
    return points;
  }
}
