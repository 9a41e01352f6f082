/** The random number service; equal seeds give equal sequences. */
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as generator from 'pure-rand/generator/xoroshiro128plus';
import * as kernel from './kernel.js';

/** Generates random numbers. */
export interface Random {
  /** A uniformly distributed number in [0, 1). */
  next(): number;
  /** A uniformly distributed integer in [0, bound). */
  below(bound: number): number;
}

/** Kernel contract of the random number generator. */
export const RANDOM = kernel.contract<Random>('random', ['next', 'below']);

/** Pseudo-random number generator with a 32-bit seed. */
export class SeededRandom implements Random {
  private readonly xoroshiro: ReturnType<typeof generator.xoroshiro128plus>;

  constructor(seed: number) {
    this.xoroshiro = generator.xoroshiro128plus(seed);
  }

  next(): number {
    return uniform.uniformFloat64(this.xoroshiro);
  }

  below(bound: number): number {
    return Math.floor(this.next() * bound);
  }
}
