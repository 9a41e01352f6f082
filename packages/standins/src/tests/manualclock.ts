/** A clock that moves only when a test says so. */
import type * as core from '@oleanderrock/core';

interface Sleeper {
  readonly dueMs: number;
  readonly wake: () => void;
}

/** A clock for tests. */
export class ManualClock implements core.Clock {
  private timeMs = 0;
  private sleepers: Sleeper[] = [];

  nowMs(): number {
    return this.timeMs;
  }

  wallClockMs(): number {
    return this.timeMs;
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise(resolve => {
      this.sleepers.push({dueMs: this.timeMs + delayMs, wake: resolve});
      signal?.addEventListener('abort', () => resolve(), {once: true});
    });
  }

  /** Moves the time on and wakes those whose sleep is over. */
  advance(byMs: number): void {
    this.timeMs += byMs;
    const due = this.sleepers.filter(({dueMs}) => dueMs <= this.timeMs);
    this.sleepers = this.sleepers.filter(({dueMs}) => dueMs > this.timeMs);
    for (const {wake} of due) wake();
  }
}
