/** Binary heap of deadlines from which any entry can be taken out. */

/** An entry; its place in the heap is the heap's own business. */
export interface Timed {
  readonly deadlineMs: number;
  place: number;
}

/** The entry with the earliest deadline first; each step in O(log n). */
export class Deadlines<T extends Timed> {
  private readonly entries: T[] = [];

  first(): T | undefined {
    return this.entries[0];
  }

  add(entry: T): void {
    this.entries.push(entry);
    this.rise(entry, this.entries.length - 1);
  }

  /** Takes out an entry that the heap holds. */
  remove(entry: T): void {
    const last = this.entries.pop();
    if (!last || last === entry) return;
    this.rise(last, entry.place);
    this.sink(last, last.place);
  }

  private put(entry: T, place: number): void {
    this.entries[place] = entry;
    entry.place = place;
  }

  private rise(entry: T, from: number): void {
    let place = from;
    while (place > 0) {
      const above = (place - 1) >> 1;
      const parent = this.entries[above];
      if (!parent || parent.deadlineMs <= entry.deadlineMs) break;
      this.put(parent, place);
      place = above;
    }
    this.put(entry, place);
  }

  private sink(entry: T, from: number): void {
    let place = from;
    for (;;) {
      const below = this.earlierChild(place);
      if (!below || below.deadlineMs >= entry.deadlineMs) break;
      const freed = below.place;
      this.put(below, place);
      place = freed;
    }
    this.put(entry, place);
  }

  private earlierChild(place: number): T | undefined {
    const left = this.entries[2 * place + 1];
    const right = this.entries[2 * place + 2];
    if (!left || !right) return left;
    return right.deadlineMs < left.deadlineMs ? right : left;
  }
}
