/**
 * Sums of values that several sources report by key, such as the load of
 * endpoints by router. Each source replaces its values as a whole, and they
 * expire if it stops reporting. The sums are updated when values change, so a
 * read takes the same time for any number of sources.
 */

/** Values by key. */
export type KeyedValues = ReadonlyMap<string, number>;

interface Report {
  readonly values: KeyedValues;
  readonly validUntilMs: number;
}

/** Sums by key over all sources whose values have not expired. */
export class ExpiringSums {
  /** The longest unchanged report comes first. */
  private readonly reports = new Map<string, Report>();
  private readonly sums = new Map<string, number>();
  private checkedAtMs = Number.NEGATIVE_INFINITY;

  /** @param validMs time after which the values of a source expire */
  constructor(private readonly validMs: number) {}

  /** Replaces the values of the source. */
  replace(source: string, values: KeyedValues, nowMs: number): void {
    this.remove(source);
    this.reports.set(source, {values, validUntilMs: nowMs + this.validMs});
    for (const [key, value] of values) this.add(key, value);
  }

  /** Drops the values of the source. */
  remove(source: string): void {
    const report = this.reports.get(source);
    if (!report) return;
    this.reports.delete(source);
    for (const [key, value] of report.values) this.add(key, -value);
  }

  /** Number of sources whose values have not expired. */
  sourceCount(nowMs: number): number {
    this.evictExpired(nowMs);
    return this.reports.size;
  }

  /** The sum of the values of the key; 0 if there are none. */
  sum(key: string, nowMs: number): number {
    this.evictExpired(nowMs);
    return this.sums.get(key) ?? 0;
  }

  private evictExpired(nowMs: number): void {
    // One selection reads many sums at the same time.
    if (nowMs === this.checkedAtMs) return;
    this.checkedAtMs = nowMs;
    for (const [source, {validUntilMs}] of this.reports) {
      if (validUntilMs >= nowMs) return;
      this.remove(source);
    }
  }

  private add(key: string, value: number): void {
    const sum = (this.sums.get(key) ?? 0) + value;
    // Sums of fractions may differ from 0 by a rounding error.
    if (Math.abs(sum) < Number.EPSILON * 1_024) this.sums.delete(key);
    else this.sums.set(key, sum);
  }
}
