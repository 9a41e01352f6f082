/** Counters by name that find a name with the highest count in O(1). */

/** Counters that change by one, so that the highest is tracked in O(1). */
export class MaxCounter {
  private readonly counts = new Map<string, number>();
  /** Names by their count; a name whose count is 0 is in no set. */
  private readonly namesByCount = new Map<number, Set<string>>();
  private maxCount = 0;

  count(name: string): number {
    return this.counts.get(name) ?? 0;
  }

  /** A name with the highest count; undefined if all counts are 0. */
  topName(): string | undefined {
    const names = this.namesByCount.get(this.maxCount);
    return names?.values().next().value;
  }

  increment(name: string): void {
    const count = this.count(name) + 1;
    this.setCount(name, count);
    this.maxCount = Math.max(this.maxCount, count);
  }

  decrement(name: string): void {
    const count = this.count(name) - 1;
    this.setCount(name, count);
    if (!this.namesByCount.has(this.maxCount)) this.maxCount -= 1;
  }

  private setCount(name: string, count: number): void {
    const oldCount = this.count(name);
    const oldNames = this.namesByCount.get(oldCount);
    oldNames?.delete(name);
    if (oldNames?.size === 0) this.namesByCount.delete(oldCount);
    if (count === 0) {
      this.counts.delete(name);
      return;
    }
    this.counts.set(name, count);
    const newNames = this.namesByCount.get(count) ?? new Set<string>();
    this.namesByCount.set(count, newNames.add(name));
  }
}
