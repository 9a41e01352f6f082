/**
 * A ratio of observed to expected times, such as the pace of one endpoint. It
 * begins at 1, forgets by age, and one observation moves it only so far.
 */

/** Limits of a learned ratio and of what one observation may say. */
const MIN_RATIO = 0.4;
const MAX_RATIO = 6;
const MAX_OBSERVED_LOG = Math.log(3);

/** Share of the half-life after which weights are reduced. */
const MIN_FORGET_SHARE = 0.02;

/** Options of `ForgettingRatio`. */
export interface ForgettingRatioOptions {
  /** Number of observations that weigh as much as the assumption of 1. */
  readonly priorCount: number;
  /** Number of recent observations that count. */
  readonly maxCount: number;
  /** Time in which the weight of an observation halves, in ms. */
  readonly halfLifeMs: number;
}

/** The mean of the logarithms of observed ratios. */
export class ForgettingRatio {
  private weight = 0;
  private logSum = 0;
  private updatedAtMs = 0;

  constructor(private readonly options: ForgettingRatioOptions) {}

  observe(ratio: number, nowMs: number): void {
    this.forget(nowMs);
    const log = Math.log(Math.max(ratio, Number.EPSILON));
    const mean = this.weight > 0 ? this.logSum / this.weight : 0;
    const lowest = Math.min(0, mean) - MAX_OBSERVED_LOG;
    const highest = Math.max(0, mean) + MAX_OBSERVED_LOG;
    this.logSum += Math.max(lowest, Math.min(highest, log));
    this.weight += 1;
    const {maxCount} = this.options;
    if (this.weight <= maxCount) return;
    this.logSum *= maxCount / this.weight;
    this.weight = maxCount;
  }

  value(nowMs: number): number {
    if (this.weight === 0) return 1;
    this.forget(nowMs);
    const mean = this.logSum / (this.weight + this.options.priorCount);
    return Math.max(MIN_RATIO, Math.min(MAX_RATIO, Math.exp(mean)));
  }

  private forget(nowMs: number): void {
    const elapsedMs = nowMs - this.updatedAtMs;
    // Smaller steps would cost time and change little.
    if (elapsedMs < this.options.halfLifeMs * MIN_FORGET_SHARE) return;
    const keep = 2 ** (-elapsedMs / this.options.halfLifeMs);
    this.weight *= keep;
    this.logSum *= keep;
    this.updatedAtMs = nowMs;
  }
}
