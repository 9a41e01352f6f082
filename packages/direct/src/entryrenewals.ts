/**
 * When the endpoints renewed their entries in the store, as far as a reader can
 * tell: it shows which entries cannot have expired.
 */

/**
 * Shortest time from the last renewal of an entry to its expiry, in ms: three
 * check-ins of 1.2 s, less what their intervals vary.
 */
const MIN_SILENCE_MS = 3_000;

/** The renewals that the reads of one router have found. */
export class EntryRenewals {
  /** Earliest time at which each entry may have been renewed last, in ms. */
  private readonly earliestMsByKey = new Map<string, number>();
  /**
   * Monotonic time at which the last read began, in ms: what the next one finds
   * was written later. Minus infinity if that is not certain.
   */
  private lastReadStartMs = Number.NEGATIVE_INFINITY;

  /** Called after each successful read. */
  onRead(startMs: number): void {
    this.lastReadStartMs = startMs;
  }

  /**
   * Called before the newest records are handled, which may be older than the
   * last read. The list of a store that has just returned may also lack entries
   * that were renewed before.
   */
  reset(): void {
    this.earliestMsByKey.clear();
    this.lastReadStartMs = Number.NEGATIVE_INFINITY;
  }

  /** Called when a read has found a record of the entry. */
  onRenewed(key: string): void {
    this.earliestMsByKey.set(key, this.lastReadStartMs);
  }

  /** Forgets an entry that was removed. */
  forget(key: string): void {
    this.earliestMsByKey.delete(key);
  }

  /** Whether an entry that vanished may have expired before `nowMs`. */
  mayHaveExpired(key: string, nowMs: number): boolean {
    const earliestMs = this.earliestMsByKey.get(key);
    return earliestMs === undefined || nowMs - earliestMs >= MIN_SILENCE_MS;
  }
}
