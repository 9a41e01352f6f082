/** Measurement of slopes, the marginal costs of one more item or run. */

/** Marginal cost of one more item or run. */
export interface Slope {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

/** Measures related slopes. */
export interface Measurement {
  measure(): Promise<Slope[]>;
}

const US_PER_MS = 1_000;

/** Collects garbage and returns the heap size; needs `--expose-gc`. */
function heapBytesAfterGc(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/**
 * Measures the heap bytes of one of `count` items.
 * @param build builds the items and returns the object that holds them
 */
export function heapBytesPerItem(count: number, build: () => object): number {
  build();
  const before = heapBytesAfterGc();
  const container = build();
  const after = heapBytesAfterGc();
  // Using the container here keeps it from being collected before.
  return Object.isFrozen(container) ? Number.NaN : (after - before) / count;
}

/** Mean time of one of `count` runs, in us, after warm-up runs. */
export function timePerRunUs(
  count: number,
  run: (index: number) => void,
): number {
  const warmUpRuns = Math.min(count, Math.ceil(count / 4));
  for (let index = 0; index < warmUpRuns; index++) run(index);
  const startMs = performance.now();
  for (let index = 0; index < count; index++) run(index);
  return ((performance.now() - startMs) * US_PER_MS) / count;
}

/** Integers from 0 to `count - 1`. */
export function indexes(count: number): number[] {
  return [...Array(count).keys()];
}
