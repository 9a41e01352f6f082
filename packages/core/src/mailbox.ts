/**
 * A queue that one task reads and others write. The reader waits on a promise,
 * so no thread spins; the capacity bounds what a fast writer can leave behind.
 */

/** A bounded first-in first-out queue with an awaiting reader. */
export class Mailbox<T> {
  private readonly items: T[] = [];
  private wake: (() => void) | undefined;
  private isClosed = false;

  /** @param capacity how many unread items are kept */
  constructor(private readonly capacity = Number.POSITIVE_INFINITY) {}

  /** Adds an item. Returns false where the mailbox is full or closed. */
  put(item: T): boolean {
    if (this.isClosed || this.items.length >= this.capacity) return false;
    this.items.push(item);
    this.notify();
    return true;
  }

  /** Resolves with the oldest item, or undefined once closed and empty. */
  async take(): Promise<T | undefined> {
    while (this.items.length === 0) {
      if (this.isClosed) return undefined;
      await new Promise<void>(resolve => (this.wake = resolve));
    }
    return this.items.shift();
  }

  /** Removes and returns all items that wait now. */
  drain(): T[] {
    return this.items.splice(0);
  }

  /** Lets the reader finish what is queued and then end. */
  close(): void {
    this.isClosed = true;
    this.notify();
  }

  /** How many items wait. */
  get size(): number {
    return this.items.length;
  }

  private notify(): void {
    this.wake?.();
    this.wake = undefined;
  }
}
