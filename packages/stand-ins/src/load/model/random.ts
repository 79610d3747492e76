/** Seeded random numbers. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Creates a generator of numbers in [0, 1). */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Draws from the exponential distribution with this mean. */
export const exponential = (random: () => number, mean: number) => -Math.log(1 - random()) * mean;
