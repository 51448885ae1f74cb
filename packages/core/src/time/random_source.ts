/** The random numbers that decisions draw. */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const UINT32_RANGE = 0x1_0000_0000;

/**
 * Source of random numbers. Decisions receive it and never call the runtime's.
 */
export abstract class RandomSource {
  /**
   * Draws the next number.
   *
   * @returns a number from 0 up to but not including 1
   */
  abstract sampleUniform(): number;

  /**
   * Picks an index at random.
   *
   * @param length - number of elements, at least 1
   * @returns an integer from 0 to `length - 1`
   */
  pickIndex(length: number): number {
    return Math.floor(this.sampleUniform() * length);
  }
}

/**
 * Random numbers that depend on a seed alone.
 */
export class SeededRandomSource extends RandomSource {
  readonly #generator;

  /**
   * Starts the sequence of numbers.
   *
   * @param seed - any integer; equal seeds give equal numbers
   */
  constructor(seed: number) {
    super();
    this.#generator = xoroshiro128plus(seed);
  }

  override sampleUniform(): number {
    return (this.#generator.next() >>> 0) / UINT32_RANGE;
  }
}
