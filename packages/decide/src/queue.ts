/**
 * Queues of requests that wait for capacity at an endpoint.
 */
import * as linkedList from './linkedlist.js';
import * as deadlineHeap from './deadlineheap.js';
import * as maxCounter from './maxcounter.js';

/** A queued request. */
export interface QueuedRequest<T> {
  readonly customer: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic time after which the request must not be dispatched. */
  readonly deadlineMs: number;
  readonly value: T;
}

/** Result of offering a request to a queue. */
export type OfferResult<T> =
  | {readonly type: 'queued'}
  /** Queued in place of another request, which the caller must refuse. */
  | {readonly type: 'displaced'; readonly loser: QueuedRequest<T>}
  | {readonly type: 'refused'};

/** A bounded queue of requests. */
export interface RequestQueue<T> {
  offer(item: QueuedRequest<T>): OfferResult<T>;
  /** The next request that has not expired, without removing it. */
  peek(nowMs: number): QueuedRequest<T> | undefined;
  /** Removes and returns the request that `peek` returns. */
  take(nowMs: number): QueuedRequest<T> | undefined;
  /** Removes and returns all requests whose deadline has passed. */
  expire(nowMs: number): ReadonlyArray<QueuedRequest<T>>;
  /** Removes a request, by identity; false if it is not queued. */
  remove(item: QueuedRequest<T>): boolean;
  readonly size: number;
}

/** Options of the queues. */
export interface QueueOptions {
  /** Maximum number of requests in the queue. */
  readonly maxQueued: number;
}

/** The requests of one customer at one priority, in order of arrival. */
interface CustomerQueue<T> {
  readonly customer: string;
  readonly nodes: linkedList.LinkedList<QueueNode<T>>;
  /** Its node in `PriorityClass.turns`; undefined once it is removed. */
  turnNode: linkedList.ListNode<CustomerQueue<T>> | undefined;
}

interface QueueNode<T> {
  readonly item: QueuedRequest<T>;
  readonly deadlineMs: number;
  heapIndex: number;
  listNode: linkedList.ListNode<QueueNode<T>> | undefined;
}

/** The customers' queues at one priority, and the order of their turns. */
interface PriorityClass<T> {
  readonly priority: number;
  readonly queues: Map<string, CustomerQueue<T>>;
  readonly turns: linkedList.LinkedList<CustomerQueue<T>>;
}

/**
 * Queue with strict priorities; within a priority, customers take turns, one
 * request each: deficit round robin with equal costs. Every operation takes at
 * most O(log n) in the number of queued requests.
 *
 * A full queue makes room for a customer that has fewer requests queued than
 * some other, by displacing the newest among the least urgent requests of the
 * customer with the most. Requests found expired are set aside until `expire`
 * returns them; they count in `size` and are displaced first.
 */
export class FairQueue<T> implements RequestQueue<T> {
  private readonly maxQueued: number;
  /** In descending order of urgency. */
  private readonly classes: Array<PriorityClass<T>> = [];
  private readonly nodes = new Map<QueuedRequest<T>, QueueNode<T>>();
  private readonly deadlines = new deadlineHeap.DeadlineHeap<QueueNode<T>>();
  private readonly queuedByCustomer = new maxCounter.MaxCounter();
  private readonly expired = new Set<QueuedRequest<T>>();

  constructor({maxQueued}: QueueOptions) {
    this.maxQueued = maxQueued;
  }

  get size(): number {
    return this.nodes.size + this.expired.size;
  }

  offer(item: QueuedRequest<T>): OfferResult<T> {
    if (this.size < this.maxQueued) {
      this.insert(item);
      return {type: 'queued'};
    }
    const displaced = this.findDisplaceable(item.customer);
    if (!displaced) return {type: 'refused'};
    this.remove(displaced);
    this.insert(item);
    return {type: 'displaced', loser: displaced};
  }

  peek(nowMs: number): QueuedRequest<T> | undefined {
    this.collectExpired(nowMs);
    return this.mostUrgentClass()?.turns.first()?.nodes.first()?.item;
  }

  take(nowMs: number): QueuedRequest<T> | undefined {
    const item = this.peek(nowMs);
    if (!item) return undefined;
    const queue = this.mostUrgentClass()?.turns.first();
    this.remove(item);
    if (queue?.turnNode) this.endTurn(item.priority, queue, queue.turnNode);
    return item;
  }

  expire(nowMs: number): ReadonlyArray<QueuedRequest<T>> {
    this.collectExpired(nowMs);
    const items = [...this.expired];
    this.expired.clear();
    return items;
  }

  remove(item: QueuedRequest<T>): boolean {
    if (this.expired.delete(item)) return true;
    const node = this.nodes.get(item);
    if (!node) return false;
    this.nodes.delete(item);
    this.deadlines.remove(node);
    this.queuedByCustomer.decrement(item.customer);
    this.removeFromQueue(node);
    return true;
  }

  private insert(item: QueuedRequest<T>): void {
    const {deadlineMs} = item;
    const node: QueueNode<T> = {
      item,
      deadlineMs,
      heapIndex: 0,
      listNode: undefined,
    };
    this.nodes.set(item, node);
    this.deadlines.add(node);
    this.queuedByCustomer.increment(item.customer);
    const priorityClass = this.findOrCreateClass(item.priority);
    const queue =
      priorityClass.queues.get(item.customer) ??
      this.addCustomerQueue(priorityClass, item);
    node.listNode = queue.nodes.push(node);
  }

  private addCustomerQueue(
    priorityClass: PriorityClass<T>,
    {customer}: QueuedRequest<T>,
  ): CustomerQueue<T> {
    const nodes = new linkedList.LinkedList<QueueNode<T>>();
    const queue: CustomerQueue<T> = {customer, nodes, turnNode: undefined};
    priorityClass.queues.set(customer, queue);
    queue.turnNode = priorityClass.turns.push(queue);
    return queue;
  }

  private removeFromQueue(node: QueueNode<T>): void {
    const {customer, priority} = node.item;
    const priorityClass = this.findOrCreateClass(priority);
    const queue = priorityClass.queues.get(customer);
    if (!queue || !node.listNode) return;
    queue.nodes.remove(node.listNode);
    if (queue.nodes.size > 0 || !queue.turnNode) return;
    priorityClass.turns.remove(queue.turnNode);
    priorityClass.queues.delete(customer);
    queue.turnNode = undefined;
  }

  private endTurn(
    priority: number,
    queue: CustomerQueue<T>,
    turnNode: linkedList.ListNode<CustomerQueue<T>>,
  ): void {
    const {turns} = this.findOrCreateClass(priority);
    turns.remove(turnNode);
    queue.turnNode = turns.push(queue);
  }

  private collectExpired(nowMs: number): void {
    for (;;) {
      const node = this.deadlines.peek();
      if (!node || node.deadlineMs >= nowMs) return;
      this.remove(node.item);
      this.expired.add(node.item);
    }
  }

  private findDisplaceable(customer: string): QueuedRequest<T> | undefined {
    const [expired] = this.expired;
    if (expired) return expired;
    const largestCustomer = this.queuedByCustomer.topName();
    if (largestCustomer === undefined) return undefined;
    const hasFewer =
      this.queuedByCustomer.count(customer) <
      this.queuedByCustomer.count(largestCustomer);
    return hasFewer ? this.newestLeastUrgentOf(largestCustomer) : undefined;
  }

  /** The newest among the least urgent requests of the customer. */
  private newestLeastUrgentOf(customer: string): QueuedRequest<T> | undefined {
    const priorityClass = this.classes.findLast(({queues}) =>
      queues.has(customer),
    );
    return priorityClass?.queues.get(customer)?.nodes.last()?.item;
  }

  private mostUrgentClass(): PriorityClass<T> | undefined {
    return this.classes.find(({turns}) => turns.size > 0);
  }

  private findOrCreateClass(priority: number): PriorityClass<T> {
    const existing = this.classes.find(
      priorityClass => priorityClass.priority === priority,
    );
    if (existing) return existing;
    const turns = new linkedList.LinkedList<CustomerQueue<T>>();
    const priorityClass: PriorityClass<T> = {
      priority,
      queues: new Map(),
      turns,
    };
    this.classes.push(priorityClass);
    this.classes.sort((a, b) => a.priority - b.priority);
    return priorityClass;
  }
}

/** Baseline: first come, first served, whatever the customer and priority. */
export class FifoQueue<T> implements RequestQueue<T> {
  private readonly maxQueued: number;
  private items: Array<QueuedRequest<T>> = [];

  constructor({maxQueued}: QueueOptions) {
    this.maxQueued = maxQueued;
  }

  get size(): number {
    return this.items.length;
  }

  offer(item: QueuedRequest<T>): OfferResult<T> {
    if (this.items.length >= this.maxQueued) return {type: 'refused'};
    this.items.push(item);
    return {type: 'queued'};
  }

  peek(nowMs: number): QueuedRequest<T> | undefined {
    return this.items.find(item => item.deadlineMs >= nowMs);
  }

  take(nowMs: number): QueuedRequest<T> | undefined {
    const item = this.peek(nowMs);
    if (item) this.remove(item);
    return item;
  }

  expire(nowMs: number): ReadonlyArray<QueuedRequest<T>> {
    const expired = this.items.filter(item => item.deadlineMs < nowMs);
    this.items = this.items.filter(item => item.deadlineMs >= nowMs);
    return expired;
  }

  remove(item: QueuedRequest<T>): boolean {
    const index = this.items.indexOf(item);
    if (index >= 0) this.items.splice(index, 1);
    return index >= 0;
  }
}
