/**
 * A line of requests that wait for a place: a bounded queue whose entries are
 * tasks that sleep until they get a place, run out of time or lose theirs.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';

/** One wait in a line. */
export interface LineWait<G> {
  readonly customer: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic time at which the wait ends. */
  readonly untilMs: number;
  readonly gone: AbortSignal;
  /** Takes a place if there is one now. */
  choose(): G | undefined;
}

/** How a wait ended. */
export type LineResult<G> =
  | {readonly type: 'granted'; readonly grant: G}
  /** The line is full, or a more deserving request took the place in it. */
  | {readonly type: 'refused'}
  | {readonly type: 'expired'}
  | {readonly type: 'gone'};

/** An entry of a line's queue. */
export interface LineEntry<G> {
  readonly wait: LineWait<G>;
  end(result: LineResult<G>): void;
}

/** A line of waiting requests. */
export class Line<G> {
  constructor(
    private readonly queue: decide.RequestQueue<LineEntry<G>>,
    private readonly clock: core.Clock,
  ) {}

  get size(): number {
    return this.queue.size;
  }

  /** Whether a request as urgent as `priority` waits already. */
  isAhead(priority: number): boolean {
    const head = this.queue.peek(this.clock.nowMs());
    return head !== undefined && head.priority <= priority;
  }

  /** Waits for a place. */
  async wait(wait: LineWait<G>): Promise<LineResult<G>> {
    // A signal that has fired already calls no listener.
    if (wait.gone.aborted) return {type: 'gone'};
    const stop = new AbortController();
    const result = await new Promise<LineResult<G>>(resolve => {
      const item = this.item(wait, resolve);
      this.offer(item);
      const leave = (type: 'expired' | 'gone') => {
        // Out of the queue at once, so that no place is given to it any more.
        if (this.queue.remove(item)) resolve({type});
      };
      const delayMs = wait.untilMs - this.clock.nowMs();
      void this.clock.sleep(delayMs, stop.signal).then(() => leave('expired'));
      wait.gone.addEventListener('abort', () => leave('gone'), {
        signal: stop.signal,
      });
    });
    stop.abort();
    return result;
  }

  /** Gives places to those in front for as long as there are any. */
  pump(): void {
    for (;;) {
      const nowMs = this.clock.nowMs();
      const head = this.queue.peek(nowMs);
      if (!head) return;
      const grant = head.value.wait.choose();
      if (grant === undefined) return;
      // Taken and not removed, so that its customer's turn is over.
      this.queue.take(nowMs);
      head.value.end({type: 'granted', grant});
    }
  }

  private item(
    wait: LineWait<G>,
    end: (result: LineResult<G>) => void,
  ): decide.Waiting<LineEntry<G>> {
    const {customer, priority, untilMs} = wait;
    return {customer, priority, deadlineMs: untilMs, value: {wait, end}};
  }

  private offer(item: decide.Waiting<LineEntry<G>>): void {
    const offer = this.queue.offer(item);
    if (offer.type === 'refused') item.value.end({type: 'refused'});
    if (offer.type === 'displaced') offer.loser.value.end({type: 'refused'});
  }
}
