/**
 * Requests that wait in a router for room in a pool, and their order: urgency
 * first, then requests that can still be answered within their goal, then the
 * customers in turn, and of one customer the request with the least time left.
 * So a request that was refused elsewhere and came back, with less time left
 * than a new one, goes first, while a customer that repeats its requests gains
 * nothing over the others.
 */

/** A request that waits. */
export interface WaitingRequest {
  readonly customer: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly bytes: number;
  /** Monotonic time at which it began to wait, in ms. */
  readonly sinceMs: number;
  /** Monotonic time until which it could be sent and meet its goal, in ms. */
  readonly goalMs: number;
  /** Monotonic time from which waiting on is of no use, in ms. */
  readonly untilMs: number;
}

/** Result of adding a request. */
export type AddResult<T> =
  /** It waits; those displaced by it do not any more. */
  | {readonly type: 'waiting'; readonly displaced: readonly T[]}
  | {readonly type: 'full'};

/** A bounded list of requests that wait for one pool. */
export interface WaitingList<T extends WaitingRequest> {
  readonly size: number;
  readonly bytes: number;
  add(request: T): AddResult<T>;
  /** Removes and returns the request whose turn it is. */
  take(nowMs: number): T | undefined;
  /** Removes a request; false if it does not wait. */
  remove(request: T): boolean;
  /** Removes and returns the requests whose time is over. */
  expire(nowMs: number): readonly T[];
  /** Number of waiting requests that go before a new one. */
  countAhead(request: T, nowMs: number): number;
  /** Time at which the first of the requests expires, in ms. */
  earliestUntilMs(): number | undefined;
  /** Age of the oldest request, in ms. */
  ageMs(nowMs: number): number;
}

/** Bounds of a list. */
export interface WaitingListOptions {
  readonly maxRequests: number;
  readonly maxBytes: number;
}

/**
 * One turn in so many goes to the request that has waited longest, whatever its
 * priority, so that none starves.
 */
const TURNS_PER_OLDEST = 8;

/**
 * Orders as described above; every operation is linear in the number of waiting
 * requests, which is small.
 */
export class FairWaitingList<
  T extends WaitingRequest,
> implements WaitingList<T> {
  private waiting: T[] = [];
  /** Number of the next turn of each customer with requests in the list. */
  private readonly turns = new Map<string, number>();
  private currentTurn = 0;
  private takenCount = 0;
  private heldBytes = 0;

  constructor(private readonly options: WaitingListOptions) {}

  get size(): number {
    return this.waiting.length;
  }

  get bytes(): number {
    return this.heldBytes;
  }

  add(request: T): AddResult<T> {
    const displaced = this.findDisplaced(request);
    if (!displaced) return {type: 'full'};
    for (const loser of displaced) this.remove(loser);
    this.waiting.push(request);
    this.heldBytes += request.bytes;
    if (!this.turns.has(request.customer)) {
      this.turns.set(request.customer, this.currentTurn);
    }
    return {type: 'waiting', displaced};
  }

  take(nowMs: number): T | undefined {
    const live = this.waiting.filter(({untilMs}) => untilMs > nowMs);
    const [first] = live;
    if (!first) return undefined;
    this.takenCount += 1;
    const isOldestTurn = this.takenCount % TURNS_PER_OLDEST === 0;
    const next = live.reduce((best, each) => {
      const isBefore = isOldestTurn
        ? each.sinceMs < best.sinceMs
        : this.compare(each, best, nowMs) < 0;
      return isBefore ? each : best;
    }, first);
    this.recordTurn(next.customer);
    this.remove(next);
    return next;
  }

  remove(request: T): boolean {
    const index = this.waiting.indexOf(request);
    if (index < 0) return false;
    this.waiting.splice(index, 1);
    this.heldBytes -= request.bytes;
    const {customer} = request;
    if (!this.waiting.some(each => each.customer === customer)) {
      this.forgetPastTurn(customer);
    }
    return true;
  }

  expire(nowMs: number): readonly T[] {
    const expired = this.waiting.filter(({untilMs}) => untilMs <= nowMs);
    for (const request of expired) this.remove(request);
    return expired;
  }

  countAhead(request: T, nowMs: number): number {
    const isBefore = (each: T) => this.compare(each, request, nowMs) <= 0;
    return this.waiting.filter(isBefore).length;
  }

  earliestUntilMs(): number | undefined {
    if (this.waiting.length === 0) return undefined;
    return Math.min(...this.waiting.map(({untilMs}) => untilMs));
  }

  ageMs(nowMs: number): number {
    const sinceMs = this.waiting.map(each => each.sinceMs);
    return sinceMs.length === 0 ? 0 : nowMs - Math.min(...sinceMs);
  }

  /** Negative if `left` goes before `right`. */
  private compare(left: T, right: T, nowMs: number): number {
    if (left.priority !== right.priority) return left.priority - right.priority;
    const leftIsLate = left.goalMs < nowMs;
    const rightIsLate = right.goalMs < nowMs;
    if (leftIsLate !== rightIsLate) return leftIsLate ? 1 : -1;
    const turnDifference =
      this.turnOf(left.customer) - this.turnOf(right.customer);
    return turnDifference || left.untilMs - right.untilMs;
  }

  private turnOf(customer: string): number {
    return this.turns.get(customer) ?? this.currentTurn;
  }

  private recordTurn(customer: string): void {
    this.currentTurn = Math.max(this.currentTurn, this.turnOf(customer));
    this.turns.set(customer, this.currentTurn + 1);
    // A customer that had its turn waits behind those that come after it until
    // their turns are over, also if it has no further requests now.
    for (const [each, turn] of this.turns) {
      if (turn < this.currentTurn) this.forgetPastTurn(each);
    }
  }

  private forgetPastTurn(customer: string): void {
    if (this.waiting.length === 0) this.turns.clear();
    const isWaiting = this.waiting.some(each => each.customer === customer);
    if (!isWaiting && this.turnOf(customer) <= this.currentTurn) {
      this.turns.delete(customer);
    }
  }

  /** The requests to displace by a new one; undefined if it has to go. */
  private findDisplaced(request: T): T[] | undefined {
    const {maxRequests, maxBytes} = this.options;
    if (request.bytes > maxBytes) return undefined;
    const displaced: T[] = [];
    let bytes = this.heldBytes + request.bytes;
    while (this.size - displaced.length >= maxRequests || bytes > maxBytes) {
      const loser = this.findLoser(request, displaced);
      if (!loser) return undefined;
      displaced.push(loser);
      bytes -= loser.bytes;
    }
    return displaced;
  }

  /**
   * The request that a new one displaces: the newest among the least urgent, of
   * the customer with most of them, if that is less urgent than the new one or
   * its customer has more.
   */
  private findLoser(request: T, displaced: readonly T[]): T | undefined {
    const rest = this.waiting.filter(each => !displaced.includes(each));
    const lowest = Math.max(...rest.map(({priority}) => priority));
    const least = rest.filter(({priority}) => priority === lowest);
    const counts = countByCustomer(least);
    const most = Math.max(0, ...counts.values());
    const loser = least.findLast(each => counts.get(each.customer) === most);
    if (!loser || lowest < request.priority) return undefined;
    const isLessUrgent = lowest > request.priority;
    const ownCount = counts.get(request.customer) ?? 0;
    return isLessUrgent || ownCount + 1 < most ? loser : undefined;
  }
}

function countByCustomer(
  requests: readonly WaitingRequest[],
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const {customer} of requests) {
    counts.set(customer, (counts.get(customer) ?? 0) + 1);
  }
  return counts;
}

/** Baseline: no request waits. */
export class NoWaitingList<T extends WaitingRequest> implements WaitingList<T> {
  readonly size = 0;
  readonly bytes = 0;

  add(): AddResult<T> {
    return {type: 'full'};
  }

  take(): undefined {}

  remove(): boolean {
    return false;
  }

  expire(): readonly T[] {
    return [];
  }

  countAhead(): number {
    return 0;
  }

  earliestUntilMs(): undefined {}

  ageMs(): number {
    return 0;
  }
}
