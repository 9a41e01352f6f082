/**
 * Queues of requests that wait for room at an endpoint.
 */

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
