/**
 * Retries: whether another try is allowed, and after what delay.
 */
import type * as core from '@oleanderrock/core';

/** Retry strategy. */
export interface RetryPolicy {
  /** Records a first try, which adds to the retry budget. */
  recordFirstTry(): void;
  /** Takes one retry from the budget; false if it is used up. */
  trySpend(): boolean;
  /** Delay in ms before the given retry; the first retry is number 1. */
  backoffMs(retry: number): number;
}

/** Default number of retries that each first try adds to the budget. */
export const DEFAULT_RETRY_SHARE = 0.1;

/** Default number of retries in the budget at the start. */
export const DEFAULT_INITIAL_RETRIES = 5;

/** Default upper limit of the delay before the first retry, in ms. */
export const DEFAULT_BASE_BACKOFF_MS = 25;

/** Default upper limit of the delay before any retry, in ms. */
export const DEFAULT_MAX_BACKOFF_MS = 1_000;

/**
 * Maximum number of first tries whose retries accumulate in the budget, on top
 * of the initial ones.
 */
const MAX_SAVED_TRIES = 1_000;

/** The budget is counted in thousandths of a retry, so that sums are exact. */
const UNITS_PER_RETRY = 1_000;

/** Options of `BudgetedRetry`. */
export interface RetryOptions {
  readonly retryShare?: number;
  readonly initialRetries?: number;
  readonly baseBackoffMs?: number;
  readonly maxBackoffMs?: number;
  readonly random: core.Random;
}

/**
 * Retry budget with exponential backoff and full jitter. Retries beyond the
 * initial ones are limited to a share of first tries, so that a fault of many
 * endpoints does not multiply the load.
 */
export class BudgetedRetry implements RetryPolicy {
  private readonly unitsPerTry: number;
  private readonly maxUnits: number;
  private readonly baseBackoffMs: number;
  private readonly maxBackoffMs: number;
  private readonly random: core.Random;
  private availableUnits: number;

  constructor({
    retryShare = DEFAULT_RETRY_SHARE,
    initialRetries = DEFAULT_INITIAL_RETRIES,
    baseBackoffMs = DEFAULT_BASE_BACKOFF_MS,
    maxBackoffMs = DEFAULT_MAX_BACKOFF_MS,
    random,
  }: RetryOptions) {
    this.unitsPerTry = Math.round(retryShare * UNITS_PER_RETRY);
    this.availableUnits = initialRetries * UNITS_PER_RETRY;
    this.maxUnits = this.availableUnits + this.unitsPerTry * MAX_SAVED_TRIES;
    this.baseBackoffMs = baseBackoffMs;
    this.maxBackoffMs = maxBackoffMs;
    this.random = random;
  }

  recordFirstTry(): void {
    this.availableUnits = Math.min(
      this.availableUnits + this.unitsPerTry,
      this.maxUnits,
    );
  }

  trySpend(): boolean {
    if (this.availableUnits < UNITS_PER_RETRY) return false;
    this.availableUnits -= UNITS_PER_RETRY;
    return true;
  }

  backoffMs(retry: number): number {
    const limitMs = this.baseBackoffMs * 2 ** (retry - 1);
    return this.random.nextFloat() * Math.min(limitMs, this.maxBackoffMs);
  }
}

/** Baseline: always retries, without delay. */
export class NaiveRetry implements RetryPolicy {
  recordFirstTry(): void {}

  trySpend(): boolean {
    return true;
  }

  backoffMs(): number {
    return 0;
  }
}
