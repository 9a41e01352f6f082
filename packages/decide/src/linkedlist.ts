/** Doubly linked list that returns its nodes, so that removal takes O(1). */

/** A node of the list. */
export interface ListNode<T> {
  readonly value: T;
  previous: ListNode<T> | undefined;
  next: ListNode<T> | undefined;
}

/** Doubly linked list that appends at its end and removes any node. */
export class LinkedList<T> {
  private head: ListNode<T> | undefined;
  private tail: ListNode<T> | undefined;
  private length = 0;

  get size(): number {
    return this.length;
  }

  first(): T | undefined {
    return this.head?.value;
  }

  last(): T | undefined {
    return this.tail?.value;
  }

  push(value: T): ListNode<T> {
    const node: ListNode<T> = {value, previous: this.tail, next: undefined};
    if (this.tail) this.tail.next = node;
    else this.head = node;
    this.tail = node;
    this.length += 1;
    return node;
  }

  /** Removes a node, which must be in this list. */
  remove(node: ListNode<T>): void {
    const {previous, next} = node;
    if (previous) previous.next = next;
    else this.head = next;
    if (next) next.previous = previous;
    else this.tail = previous;
    this.length -= 1;
  }
}
