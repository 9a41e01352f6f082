/**
 * Retries: whether one more try is allowed, and after how long.
 */

/** Strategy of retries. */
export interface RetryPolicy {
  /** Notes a first try, which earns a share of a retry. */
  tried(): void;
  /** Spends one retry; false where the budget is used up. */
  spend(): boolean;
  /** How long to wait before the given retry, 1 being the first. */
  backoffMs(retry: number): number;
}
