/** Random numbers that are injected into all logic that needs them. */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const UINT32_RANGE = 0x1_0000_0000;

/**
 * Source of random numbers. The core package draws only from here, so that
 * tests and simulations can be repeated from a seed.
 */
export abstract class RandomSource {
  /**
   * Draws the next number, uniformly distributed.
   *
   * @returns a number from 0 up to but not including 1
   */
  abstract sampleUniform(): number;

  /**
   * Picks an index of an array at random.
   *
   * @param length - length of the array, at least 1
   * @returns an integer from 0 to `length - 1`
   */
  pickIndex(length: number): number {
    return Math.floor(this.sampleUniform() * length);
  }
}

/**
 * Pseudorandom number generator (xoroshiro128+) with a seed.
 */
export class SeededRandomSource extends RandomSource {
  readonly #generator;

  /**
   * Seeds the generator.
   *
   * @param seed - any integer; equal seeds give equal sequences
   */
  constructor(seed: number) {
    super();
    this.#generator = xoroshiro128plus(seed);
  }

  override sampleUniform(): number {
    return (this.#generator.next() >>> 0) / UINT32_RANGE;
  }
}
