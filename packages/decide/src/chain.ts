/** Doubly linked list whose links are handed out, so removal is O(1). */

/** One link of a chain. */
export interface Link<T> {
  readonly value: T;
  previous: Link<T> | undefined;
  next: Link<T> | undefined;
}

/** A list that grows at its end and can lose any link. */
export class Chain<T> {
  private head: Link<T> | undefined;
  private tail: Link<T> | undefined;
  private count = 0;

  get size(): number {
    return this.count;
  }

  first(): T | undefined {
    return this.head?.value;
  }

  last(): T | undefined {
    return this.tail?.value;
  }

  push(value: T): Link<T> {
    const link: Link<T> = {value, previous: this.tail, next: undefined};
    if (this.tail) this.tail.next = link;
    else this.head = link;
    this.tail = link;
    this.count += 1;
    return link;
  }

  /** Takes out a link of this chain; a link may be taken out once. */
  remove(link: Link<T>): void {
    const {previous, next} = link;
    if (previous) previous.next = next;
    else this.head = next;
    if (next) next.previous = previous;
    else this.tail = previous;
    this.count -= 1;
  }
}
