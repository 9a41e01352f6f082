/** The random number service; equal seeds give equal sequences. */
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as generator from 'pure-rand/generator/xoroshiro128plus';
import * as kernel from './kernel.js';

/** Generates random numbers. */
export interface Random {
  /** A uniformly distributed number in [0, 1). */
  nextFloat(): number;
  /** A uniformly distributed integer in [0, bound). */
  nextInt(bound: number): number;
}

/** Kernel contract of the random number generator. */
export const RANDOM = kernel.contract<Random>('random', [
  'nextFloat',
  'nextInt',
]);

/** Pseudo-random number generator with a 32-bit seed. */
export class SeededRandom implements Random {
  private readonly xoroshiro: ReturnType<typeof generator.xoroshiro128plus>;

  constructor(seed: number) {
    this.xoroshiro = generator.xoroshiro128plus(seed);
  }

  nextFloat(): number {
    return uniform.uniformFloat64(this.xoroshiro);
  }

  nextInt(bound: number): number {
    return Math.floor(this.nextFloat() * bound);
  }
}
