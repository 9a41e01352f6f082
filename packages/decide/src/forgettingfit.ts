/**
 * A line through observed times: how a time depends on a few features, such as
 * the tokens to read. Old observations are forgotten, outliers are clipped, and
 * a prior holds until there are enough observations.
 */

/** One feature of the fit. */
export interface FitFeature {
  /** Value of the feature that counts as one unit, for even scales. */
  readonly unit: number;
  /** Time of one unit before anything was observed, in ms. */
  readonly priorMs: number;
  /** Limits of the time of one unit, in ms. */
  readonly minMs: number;
  readonly maxMs: number;
}

/** Number of recent observations that count. */
const MEMORY_COUNT = 200;

/** Number of observations that weigh as much as the prior. */
const PRIOR_COUNT = 2;

/**
 * Largest deviation of an observation, as a multiple of the mean deviation;
 * larger ones count as this.
 */
const MAX_DEVIATION = 2;

/** Bounds of the mean deviation, as a share of the fitted time. */
const MIN_MEAN_DEVIATION = 0.05;
const MAX_MEAN_DEVIATION = 1;

/** Least time that an observation is weighed by, in ms. */
const MIN_SCALE_MS = 1;

/** Weighted least squares, by sums that are forgotten exponentially. */
export class ForgettingFit {
  private readonly size: number;
  /** Sums of products of the features, row by row. */
  private readonly products: Float64Array;
  /** Sums of products of the features and the time. */
  private readonly moments: Float64Array;
  private readonly unitTimes: Float64Array;
  private readonly scaled: Float64Array;
  private readonly matrix: Float64Array;
  private meanDeviation = MAX_MEAN_DEVIATION;
  private observedCount = 0;

  /** @param features the first one is usually constant */
  constructor(private readonly features: readonly FitFeature[]) {
    this.size = features.length;
    this.products = new Float64Array(this.size * this.size);
    this.moments = new Float64Array(this.size);
    this.unitTimes = Float64Array.from(features, ({priorMs}) => priorMs);
    this.scaled = new Float64Array(this.size);
    this.matrix = new Float64Array(this.size * (this.size + 1));
  }

  /** Number of observations so far. */
  get count(): number {
    return this.observedCount;
  }

  /** The time for the values of the features, in ms. */
  predict(values: readonly number[]): number {
    let sumMs = 0;
    for (let i = 0; i < this.size; i++) {
      sumMs += (values[i]! / this.features[i]!.unit) * this.unitTimes[i]!;
    }
    return sumMs;
  }

  /** The time of `amount` of one feature, in ms. */
  timeOf(feature: number, amount: number): number {
    return (amount / this.features[feature]!.unit) * this.unitTimes[feature]!;
  }

  /** Records that the values of the features led to the time. */
  observe(values: readonly number[], timeMs: number): void {
    const fittedMs = Math.max(MIN_SCALE_MS, this.predict(values));
    const deviation = timeMs / fittedMs - 1;
    const maxDeviation = this.meanDeviation * MAX_DEVIATION;
    const clipped = Math.max(-maxDeviation, Math.min(maxDeviation, deviation));
    this.updateMeanDeviation(Math.abs(deviation));
    this.add(values, fittedMs, clipped);
    this.observedCount += 1;
    this.solve();
  }

  private updateMeanDeviation(deviation: number): void {
    const bounded = Math.min(deviation, this.meanDeviation * MAX_DEVIATION);
    const share = Math.max(1 / MEMORY_COUNT, 1 / (this.observedCount + 2));
    const mean = this.meanDeviation + (bounded - this.meanDeviation) * share;
    this.meanDeviation = Math.max(
      MIN_MEAN_DEVIATION,
      Math.min(MAX_MEAN_DEVIATION, mean),
    );
  }

  /** Adds an observation, weighed so that relative deviations count alike. */
  private add(
    values: readonly number[],
    fittedMs: number,
    deviation: number,
  ): void {
    const {size, scaled, products, moments} = this;
    const keep = 1 - 1 / MEMORY_COUNT;
    for (let i = 0; i < size; i++) {
      scaled[i] = values[i]! / this.features[i]!.unit / fittedMs;
    }
    for (let i = 0; i < size; i++) {
      moments[i] = moments[i]! * keep + scaled[i]! * (1 + deviation);
      for (let j = 0; j <= i; j++) {
        const at = i * size + j;
        products[at] = products[at]! * keep + scaled[i]! * scaled[j]!;
      }
    }
  }

  /** Solves the normal equations, with the prior as further observations. */
  private solve(): void {
    const {size, matrix} = this;
    const width = size + 1;
    for (let i = 0; i < size; i++) {
      const {priorMs} = this.features[i]!;
      const ridge = PRIOR_COUNT / (priorMs * priorMs * size);
      for (let j = 0; j < size; j++) {
        const at = i >= j ? i * size + j : j * size + i;
        matrix[i * width + j] = this.products[at]! + (i === j ? ridge : 0);
      }
      matrix[i * width + size] = this.moments[i]! + ridge * priorMs;
    }
    this.eliminate();
    for (let i = 0; i < size; i++) {
      const {minMs, maxMs} = this.features[i]!;
      const solution = matrix[i * width + size]! / matrix[i * width + i]!;
      this.unitTimes[i] = Math.max(minMs, Math.min(maxMs, solution));
    }
  }

  /** Gauss-Jordan; the prior keeps the pivots positive. */
  private eliminate(): void {
    const {size, matrix} = this;
    const width = size + 1;
    for (let pivot = 0; pivot < size; pivot++) {
      const pivotValue = matrix[pivot * width + pivot]!;
      for (let row = 0; row < size; row++) {
        if (row === pivot) continue;
        const factor = matrix[row * width + pivot]! / pivotValue;
        if (factor === 0) continue;
        for (let column = pivot; column < width; column++) {
          matrix[row * width + column]! -=
            factor * matrix[pivot * width + column]!;
        }
      }
    }
  }
}
