/**
 * A queue with several writers and one reading task. The reader awaits a
 * promise and uses no CPU while the queue is empty; the capacity bounds the
 * memory that the queue uses if writers are faster than the reader.
 */

/** A bounded first-in first-out queue with one asynchronous reader. */
export class Mailbox<T> {
  private readonly items: T[] = [];
  private resolveWait: (() => void) | undefined;
  private isClosed = false;

  /** @param capacity maximum number of queued items */
  constructor(private readonly capacity = Number.POSITIVE_INFINITY) {}

  /** Adds an item. Returns false if the mailbox is full or closed. */
  put(item: T): boolean {
    if (this.isClosed || this.items.length >= this.capacity) return false;
    this.items.push(item);
    this.wakeReader();
    return true;
  }

  /** Removes the oldest item; resolves with undefined once closed and empty. */
  async take(): Promise<T | undefined> {
    while (this.items.length === 0) {
      if (this.isClosed) return undefined;
      await new Promise<void>(resolve => (this.resolveWait = resolve));
    }
    return this.items.shift();
  }

  /** Removes and returns all queued items. */
  drain(): T[] {
    return this.items.splice(0);
  }

  /** Rejects further items; the reader still receives the queued ones. */
  close(): void {
    this.isClosed = true;
    this.wakeReader();
  }

  /** Number of queued items. */
  get size(): number {
    return this.items.length;
  }

  private wakeReader(): void {
    this.resolveWait?.();
    this.resolveWait = undefined;
  }
}
