/** Binary min-heap by deadline, from which any entry can be removed. */

/** An entry of the heap. */
export interface HeapEntry {
  readonly deadlineMs: number;
  /** Position in the heap's array, maintained by the heap. */
  heapIndex: number;
}

/** Min-heap by `deadlineMs`; adding and removing take O(log n). */
export class DeadlineHeap<T extends HeapEntry> {
  private readonly entries: T[] = [];

  peek(): T | undefined {
    return this.entries[0];
  }

  add(entry: T): void {
    this.entries.push(entry);
    this.siftUp(entry, this.entries.length - 1);
  }

  /** Removes an entry, which must be in the heap. */
  remove(entry: T): void {
    const last = this.entries.pop();
    if (!last || last === entry) return;
    this.siftUp(last, entry.heapIndex);
    this.siftDown(last, last.heapIndex);
  }

  private store(entry: T, index: number): void {
    this.entries[index] = entry;
    entry.heapIndex = index;
  }

  private siftUp(entry: T, from: number): void {
    let index = from;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = this.entries[parentIndex];
      if (!parent || parent.deadlineMs <= entry.deadlineMs) break;
      this.store(parent, index);
      index = parentIndex;
    }
    this.store(entry, index);
  }

  private siftDown(entry: T, from: number): void {
    let index = from;
    for (;;) {
      const child = this.earlierChild(index);
      if (!child || child.deadlineMs >= entry.deadlineMs) break;
      const childIndex = child.heapIndex;
      this.store(child, index);
      index = childIndex;
    }
    this.store(entry, index);
  }

  private earlierChild(index: number): T | undefined {
    const left = this.entries[2 * index + 1];
    const right = this.entries[2 * index + 2];
    if (!left || !right) return left;
    return right.deadlineMs < left.deadlineMs ? right : left;
  }
}
