/**
 * A bounded queue of requests that wait for a free slot. The task of each
 * request sleeps until it is granted a slot, its deadline passes, its caller
 * closes the connection, or another request displaces it.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';

/** A request that waits for a slot. */
export interface Waiter<G> {
  readonly customer: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic time at which the wait ends without a slot. */
  readonly untilMs: number;
  /** Aborts when the caller closes its connection. */
  readonly callerGone: AbortSignal;
  /** Reserves a slot if one is free now. */
  tryGrant(): G | undefined;
}

/** How a wait ended. */
export type WaitResult<G> =
  | {readonly type: 'granted'; readonly grant: G}
  /** The queue is full, or a request of another customer displaced this one. */
  | {readonly type: 'refused'}
  /** The deadline passed. */
  | {readonly type: 'expired'}
  /** The caller closed its connection. */
  | {readonly type: 'gone'};

/** A queued request, with the function that ends its wait. */
export interface QueueEntry<G> {
  readonly waiter: Waiter<G>;
  settle(result: WaitResult<G>): void;
}

/** Queue whose entries are granted slots in the order of the request queue. */
export class WaitQueue<G> {
  constructor(
    private readonly queue: decide.RequestQueue<QueueEntry<G>>,
    private readonly clock: core.Clock,
  ) {}

  get size(): number {
    return this.queue.size;
  }

  /** Whether a request of this priority or a more urgent one is waiting. */
  hasWaiter(priority: number): boolean {
    const head = this.queue.peek(this.clock.nowMs());
    return head !== undefined && head.priority <= priority;
  }

  /** Enqueues the request and resolves when its wait ends. */
  async wait(waiter: Waiter<G>): Promise<WaitResult<G>> {
    // A signal that is already aborted does not fire its `abort` event.
    if (waiter.callerGone.aborted) return {type: 'gone'};
    const cleanup = new AbortController();
    const result = await new Promise<WaitResult<G>>(resolve => {
      const item = this.toQueueItem(waiter, resolve);
      this.enqueue(item);
      const endWait = (type: 'expired' | 'gone') => {
        // Removed from the queue first, so that it cannot be granted a slot.
        if (this.queue.remove(item)) resolve({type});
      };
      const delayMs = waiter.untilMs - this.clock.nowMs();
      void this.clock
        .sleep(delayMs, cleanup.signal)
        .then(() => endWait('expired'));
      waiter.callerGone.addEventListener('abort', () => endWait('gone'), {
        signal: cleanup.signal,
      });
    });
    cleanup.abort();
    return result;
  }

  /** Grants slots to the requests at the front while slots are free. */
  grantWaiting(): void {
    for (;;) {
      const nowMs = this.clock.nowMs();
      const head = this.queue.peek(nowMs);
      if (!head) return;
      const grant = head.value.waiter.tryGrant();
      if (grant === undefined) return;
      // Unlike `remove`, `take` passes the turn to the next customer.
      this.queue.take(nowMs);
      head.value.settle({type: 'granted', grant});
    }
  }

  private toQueueItem(
    waiter: Waiter<G>,
    settle: (result: WaitResult<G>) => void,
  ): decide.QueuedRequest<QueueEntry<G>> {
    const {customer, priority, untilMs} = waiter;
    return {customer, priority, deadlineMs: untilMs, value: {waiter, settle}};
  }

  private enqueue(item: decide.QueuedRequest<QueueEntry<G>>): void {
    const offer = this.queue.offer(item);
    if (offer.type === 'refused') item.value.settle({type: 'refused'});
    if (offer.type === 'displaced') offer.loser.value.settle({type: 'refused'});
  }
}
