/** Slopes: what one more of something costs. */

/** One slope. */
export interface Slope {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

/** A measurement of related slopes. */
export interface Measurement {
  run(): Promise<Slope[]>;
}

const US_PER_MS = 1_000;

/** Settles the heap and returns its size; needs `--expose-gc`. */
function settledHeapBytes(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/**
 * Heap bytes of one of `count` things.
 * @param make builds them and returns what holds them
 */
export function heapBytes(count: number, make: () => object): number {
  make();
  const before = settledHeapBytes();
  const held = make();
  const after = settledHeapBytes();
  // Keeps what was made alive until here.
  return Object.isFrozen(held) ? Number.NaN : (after - before) / count;
}

/** Time in us of one of `count` runs, after a run to warm up. */
export function timeUs(count: number, work: (index: number) => void): number {
  const warmUp = Math.min(count, Math.ceil(count / 4));
  for (let index = 0; index < warmUp; index++) work(index);
  const beganMs = performance.now();
  for (let index = 0; index < count; index++) work(index);
  return ((performance.now() - beganMs) * US_PER_MS) / count;
}

/** Whole numbers from 0 to below `count`. */
export function range(count: number): number[] {
  return [...Array(count).keys()];
}
