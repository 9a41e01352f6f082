/** A map of limited size that forgets what was not set for the longest time. */

/** Forgets the entry that was set first when it is full. */
export class BoundedMap<V> {
  private readonly entries = new Map<string, V>();

  constructor(private readonly maxEntries: number) {}

  get size(): number {
    return this.entries.size;
  }

  get(key: string): V | undefined {
    return this.entries.get(key);
  }

  set(key: string, value: V): void {
    this.entries.delete(key);
    this.entries.set(key, value);
    if (this.entries.size <= this.maxEntries) return;
    const oldest = this.entries.keys().next();
    if (!oldest.done) this.entries.delete(oldest.value);
  }

  delete(key: string): boolean {
    return this.entries.delete(key);
  }

  [Symbol.iterator](): IterableIterator<[string, V]> {
    return this.entries[Symbol.iterator]();
  }
}
