/** Counts by name that know the largest, each step in O(1). */

/** Counts that change by one. */
export class Tally {
  private readonly counts = new Map<string, number>();
  /** Names by their count; a name with 0 is in none. */
  private readonly groups = new Map<number, Set<string>>();
  private top = 0;

  count(name: string): number {
    return this.counts.get(name) ?? 0;
  }

  /** A name with the highest count. */
  largest(): string | undefined {
    const names = this.groups.get(this.top);
    return names?.values().next().value;
  }

  add(name: string): void {
    const count = this.count(name) + 1;
    this.move(name, count);
    this.top = Math.max(this.top, count);
  }

  drop(name: string): void {
    const count = this.count(name) - 1;
    this.move(name, count);
    if (!this.groups.has(this.top)) this.top -= 1;
  }

  private move(name: string, count: number): void {
    const old = this.count(name);
    const left = this.groups.get(old);
    left?.delete(name);
    if (left?.size === 0) this.groups.delete(old);
    if (count === 0) {
      this.counts.delete(name);
      return;
    }
    this.counts.set(name, count);
    const joined = this.groups.get(count) ?? new Set<string>();
    this.groups.set(count, joined.add(name));
  }
}
