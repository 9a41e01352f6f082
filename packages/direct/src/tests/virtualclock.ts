/** Test support: virtual time, in which waits take no real time. */
import * as timers from 'node:timers/promises';
import type * as core from '@oleanderrock/core';

interface Event {
  readonly dueMs: number;
  readonly run: () => void;
}

/** A clock that jumps from one event to the next. */
export class VirtualClock implements core.Clock {
  private timeMs = 0;
  /** Binary heap by due time. */
  private readonly events: Event[] = [];

  nowMs(): number {
    return this.timeMs;
  }

  wallClockMs(): number {
    return 1_700_000_000_000 + this.timeMs;
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise(resolve => {
      signal?.addEventListener('abort', () => resolve(), {once: true});
      this.schedule(delayMs, resolve);
    });
  }

  /** Runs a function after a delay. */
  schedule(delayMs: number, run: () => void): void {
    const {events} = this;
    events.push({dueMs: this.timeMs + Math.max(0, delayMs), run});
    let index = events.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (events[parent]!.dueMs <= events[index]!.dueMs) return;
      this.swap(parent, index);
      index = parent;
    }
  }

  /** Runs all events of the next `durationMs`. */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.timeMs + durationMs;
    // Tasks that were woken may schedule events.
    await timers.setImmediate();
    while ((this.events[0]?.dueMs ?? Infinity) <= endMs) {
      const dueMs = this.events[0]!.dueMs;
      this.timeMs = Math.max(this.timeMs, dueMs);
      while (this.events[0]?.dueMs === dueMs) this.pop().run();
      await timers.setImmediate();
    }
    this.timeMs = endMs;
  }

  /** Advances until the condition holds; returns the time it took, in ms. */
  async until(condition: () => boolean, maxMs: number): Promise<number> {
    const startMs = this.timeMs;
    while (!condition()) {
      if (this.timeMs - startMs >= maxMs) return Number.POSITIVE_INFINITY;
      await this.advance(20);
    }
    return this.timeMs - startMs;
  }

  private pop(): Event {
    const {events} = this;
    const first = events[0]!;
    const last = events.pop()!;
    if (events.length > 0) {
      events[0] = last;
      this.siftDown();
    }
    return first;
  }

  private siftDown(): void {
    const {events} = this;
    let index = 0;
    for (;;) {
      let smallest = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        const isSmaller =
          child < events.length &&
          events[child]!.dueMs < events[smallest]!.dueMs;
        if (isSmaller) smallest = child;
      }
      if (smallest === index) return;
      this.swap(smallest, index);
      index = smallest;
    }
  }

  private swap(left: number, right: number): void {
    const {events} = this;
    [events[left], events[right]] = [events[right]!, events[left]!];
  }
}
