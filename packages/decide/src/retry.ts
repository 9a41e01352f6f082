/**
 * Retries: whether one more try is allowed, and after how long.
 */
import type * as core from '@oleanderrock/core';

/** Strategy of retries. */
export interface RetryPolicy {
  /** Notes a first try, which earns a share of a retry. */
  tried(): void;
  /** Spends one retry; false where the budget is used up. */
  spend(): boolean;
  /** How long to wait before the given retry, 1 being the first. */
  backoffMs(retry: number): number;
}

/** Retries that one first try earns, if not told. */
export const DEFAULT_SHARE = 0.1;

/** Retries that a router may make before it has earned any, if not told. */
export const DEFAULT_FLOOR = 5;

/** Longest wait before the first retry, in ms, if not told. */
export const DEFAULT_BASE_BACKOFF_MS = 25;

/** Longest wait before any retry, in ms, if not told. */
export const DEFAULT_MAX_BACKOFF_MS = 1_000;

/** What this many first tries earn can be saved up, and no more. */
const SAVED_TRIES = 1_000;

/** Budgets are counted in thousandths of a retry, which sums stay exact in. */
const RETRY_UNITS = 1_000;

/** Options of the budget of retries. */
export interface RetryOptions {
  readonly share?: number;
  readonly floor?: number;
  readonly baseBackoffMs?: number;
  readonly maxBackoffMs?: number;
  readonly random: core.Random;
}

/**
 * A budget of retries, so that a fault of many endpoints does not multiply the
 * load, with exponential backoff and full jitter. The floor is what a router
 * begins with; beyond it, retries are a share of first tries.
 */
export class BudgetedRetry implements RetryPolicy {
  private readonly earnedUnits: number;
  private readonly maxUnits: number;
  private readonly baseBackoffMs: number;
  private readonly maxBackoffMs: number;
  private readonly random: core.Random;
  private units: number;

  constructor({
    share = DEFAULT_SHARE,
    floor = DEFAULT_FLOOR,
    baseBackoffMs = DEFAULT_BASE_BACKOFF_MS,
    maxBackoffMs = DEFAULT_MAX_BACKOFF_MS,
    random,
  }: RetryOptions) {
    this.earnedUnits = Math.round(share * RETRY_UNITS);
    this.units = floor * RETRY_UNITS;
    this.maxUnits = this.units + this.earnedUnits * SAVED_TRIES;
    this.baseBackoffMs = baseBackoffMs;
    this.maxBackoffMs = maxBackoffMs;
    this.random = random;
  }

  tried(): void {
    this.units = Math.min(this.units + this.earnedUnits, this.maxUnits);
  }

  spend(): boolean {
    if (this.units < RETRY_UNITS) return false;
    this.units -= RETRY_UNITS;
    return true;
  }

  backoffMs(retry: number): number {
    const longestMs = this.baseBackoffMs * 2 ** (retry - 1);
    return this.random.next() * Math.min(longestMs, this.maxBackoffMs);
  }
}

/** Retries always and at once: the naive policy. */
export class NaiveRetry implements RetryPolicy {
  tried(): void {}

  spend(): boolean {
    return true;
  }

  backoffMs(): number {
    return 0;
  }
}
