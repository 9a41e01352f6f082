/**
 * Queues of requests that wait for room at an endpoint.
 */
import * as chain from './chain.js';
import * as heap from './deadlines.js';
import * as tally from './tally.js';

/** One waiting request. */
export interface Waiting<T> {
  readonly customer: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic time after which the request is not run any more. */
  readonly deadlineMs: number;
  readonly value: T;
}

/** What an offer to a queue led to. */
export type Offer<T> =
  | {readonly type: 'queued'}
  /** Queued in the place of another, which is to be refused. */
  | {readonly type: 'displaced'; readonly loser: Waiting<T>}
  | {readonly type: 'refused'};

/** A bounded queue of waiting requests. */
export interface RequestQueue<T> {
  offer(item: Waiting<T>): Offer<T>;
  /** The next request that has not expired, without taking it out. */
  peek(nowMs: number): Waiting<T> | undefined;
  /** Takes out the request that `peek` would show. */
  take(nowMs: number): Waiting<T> | undefined;
  /** Takes out all requests whose deadline has passed. */
  expire(nowMs: number): ReadonlyArray<Waiting<T>>;
  /** Takes out one request, by identity; false where it is not queued. */
  remove(item: Waiting<T>): boolean;
  readonly size: number;
}

/** Options of the queues. */
export interface QueueOptions {
  /** Most requests that wait at a time. */
  readonly maxQueued: number;
}

/** The waiting requests of one customer at one priority, in order. */
interface Lane<T> {
  readonly customer: string;
  readonly nodes: chain.Chain<Node<T>>;
  turn: chain.Link<Lane<T>> | undefined;
}

interface Node<T> {
  readonly item: Waiting<T>;
  readonly deadlineMs: number;
  place: number;
  link: chain.Link<Node<T>> | undefined;
}

/** The lanes of one priority; the customer of the first one has its turn. */
interface PriorityClass<T> {
  readonly priority: number;
  readonly lanes: Map<string, Lane<T>>;
  readonly turns: chain.Chain<Lane<T>>;
}

/**
 * Strict priorities; within one, customers take turns, one request each, which
 * is deficit round robin where each request costs the same. Nothing costs more
 * than O(log n) in the number waiting.
 *
 * A full queue makes room for a customer that has fewer waiting than the
 * largest one, at the expense of the largest one's newest, least urgent
 * request. Requests found expired leave the lanes and are held until `expire`
 * hands them out; they count in `size` and are the first to be displaced.
 */
export class FairQueue<T> implements RequestQueue<T> {
  private readonly maxQueued: number;
  /** The most urgent first. */
  private readonly classes: Array<PriorityClass<T>> = [];
  private readonly nodes = new Map<Waiting<T>, Node<T>>();
  private readonly deadlines = new heap.Deadlines<Node<T>>();
  private readonly customers = new tally.Tally();
  private readonly expired = new Set<Waiting<T>>();

  constructor({maxQueued}: QueueOptions) {
    this.maxQueued = maxQueued;
  }

  get size(): number {
    return this.nodes.size + this.expired.size;
  }

  offer(item: Waiting<T>): Offer<T> {
    if (this.size < this.maxQueued) {
      this.insert(item);
      return {type: 'queued'};
    }
    const loser = this.findLoser(item.customer);
    if (!loser) return {type: 'refused'};
    this.remove(loser);
    this.insert(item);
    return {type: 'displaced', loser};
  }

  peek(nowMs: number): Waiting<T> | undefined {
    this.sweep(nowMs);
    return this.firstClass()?.turns.first()?.nodes.first()?.item;
  }

  take(nowMs: number): Waiting<T> | undefined {
    const item = this.peek(nowMs);
    if (!item) return undefined;
    const lane = this.firstClass()?.turns.first();
    this.remove(item);
    if (lane?.turn) this.endTurn(item.priority, lane, lane.turn);
    return item;
  }

  expire(nowMs: number): ReadonlyArray<Waiting<T>> {
    this.sweep(nowMs);
    const items = [...this.expired];
    this.expired.clear();
    return items;
  }

  remove(item: Waiting<T>): boolean {
    if (this.expired.delete(item)) return true;
    const node = this.nodes.get(item);
    if (!node) return false;
    this.nodes.delete(item);
    this.deadlines.remove(node);
    this.customers.drop(item.customer);
    this.leaveLane(node);
    return true;
  }

  private insert(item: Waiting<T>): void {
    const {deadlineMs} = item;
    const node: Node<T> = {item, deadlineMs, place: 0, link: undefined};
    this.nodes.set(item, node);
    this.deadlines.add(node);
    this.customers.add(item.customer);
    const own = this.classOf(item.priority);
    const lane = own.lanes.get(item.customer) ?? this.openLane(own, item);
    node.link = lane.nodes.push(node);
  }

  private openLane(own: PriorityClass<T>, {customer}: Waiting<T>): Lane<T> {
    const nodes = new chain.Chain<Node<T>>();
    const lane: Lane<T> = {customer, nodes, turn: undefined};
    own.lanes.set(customer, lane);
    lane.turn = own.turns.push(lane);
    return lane;
  }

  private leaveLane(node: Node<T>): void {
    const {customer, priority} = node.item;
    const own = this.classOf(priority);
    const lane = own.lanes.get(customer);
    if (!lane || !node.link) return;
    lane.nodes.remove(node.link);
    if (lane.nodes.size > 0 || !lane.turn) return;
    own.turns.remove(lane.turn);
    own.lanes.delete(customer);
    lane.turn = undefined;
  }

  private endTurn(
    priority: number,
    lane: Lane<T>,
    turn: chain.Link<Lane<T>>,
  ): void {
    const {turns} = this.classOf(priority);
    turns.remove(turn);
    lane.turn = turns.push(lane);
  }

  private sweep(nowMs: number): void {
    for (;;) {
      const node = this.deadlines.first();
      if (!node || node.deadlineMs >= nowMs) return;
      this.remove(node.item);
      this.expired.add(node.item);
    }
  }

  private findLoser(customer: string): Waiting<T> | undefined {
    const [lapsed] = this.expired;
    if (lapsed) return lapsed;
    const largest = this.customers.largest();
    if (largest === undefined) return undefined;
    const isSmaller =
      this.customers.count(customer) < this.customers.count(largest);
    return isSmaller ? this.newestOf(largest) : undefined;
  }

  private newestOf(customer: string): Waiting<T> | undefined {
    const own = this.classes.findLast(({lanes}) => lanes.has(customer));
    return own?.lanes.get(customer)?.nodes.last()?.item;
  }

  private firstClass(): PriorityClass<T> | undefined {
    return this.classes.find(({turns}) => turns.size > 0);
  }

  private classOf(priority: number): PriorityClass<T> {
    const known = this.classes.find(own => own.priority === priority);
    if (known) return known;
    const turns = new chain.Chain<Lane<T>>();
    const own: PriorityClass<T> = {priority, lanes: new Map(), turns};
    this.classes.push(own);
    this.classes.sort((a, b) => a.priority - b.priority);
    return own;
  }
}

/** First come, first served, for whoever comes: the naive queue. */
export class FifoQueue<T> implements RequestQueue<T> {
  private readonly maxQueued: number;
  private items: Array<Waiting<T>> = [];

  constructor({maxQueued}: QueueOptions) {
    this.maxQueued = maxQueued;
  }

  get size(): number {
    return this.items.length;
  }

  offer(item: Waiting<T>): Offer<T> {
    if (this.items.length >= this.maxQueued) return {type: 'refused'};
    this.items.push(item);
    return {type: 'queued'};
  }

  peek(nowMs: number): Waiting<T> | undefined {
    return this.items.find(item => item.deadlineMs >= nowMs);
  }

  take(nowMs: number): Waiting<T> | undefined {
    const item = this.peek(nowMs);
    if (item) this.remove(item);
    return item;
  }

  expire(nowMs: number): ReadonlyArray<Waiting<T>> {
    const expired = this.items.filter(item => item.deadlineMs < nowMs);
    this.items = this.items.filter(item => item.deadlineMs >= nowMs);
    return expired;
  }

  remove(item: Waiting<T>): boolean {
    const index = this.items.indexOf(item);
    if (index >= 0) this.items.splice(index, 1);
    return index >= 0;
  }
}
