/** Random numbers as a service; one seed gives one sequence. */
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as generator from 'pure-rand/generator/xoroshiro128plus';
import * as kernel from './kernel.js';

/** Source of random numbers. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
  /** A whole number in [0, bound). */
  below(bound: number): number;
}

/** The contract under which the random numbers are registered. */
export const RANDOM = kernel.contract<Random>('random', ['next', 'below']);

/** Pseudo-random numbers from a 32-bit seed. */
export class SeededRandom implements Random {
  private readonly source: ReturnType<typeof generator.xoroshiro128plus>;

  constructor(seed: number) {
    this.source = generator.xoroshiro128plus(seed);
  }

  next(): number {
    return uniform.uniformFloat64(this.source);
  }

  below(bound: number): number {
    return Math.floor(this.next() * bound);
  }
}
