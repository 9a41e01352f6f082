/** Clock for tests that moves only when it is advanced. */
import type * as core from '@oleanderrock/core';

interface PendingSleep {
  readonly dueMs: number;
  readonly wake: () => void;
}

/** Clock whose time a test sets by `advance`. */
export class ManualClock implements core.Clock {
  private timeMs = 0;
  private pendingSleeps: PendingSleep[] = [];

  nowMs(): number {
    return this.timeMs;
  }

  wallClockMs(): number {
    return this.timeMs;
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise(resolve => {
      this.pendingSleeps.push({dueMs: this.timeMs + delayMs, wake: resolve});
      signal?.addEventListener('abort', () => resolve(), {once: true});
    });
  }

  /** Advances the time and ends the sleeps that are due. */
  advance(byMs: number): void {
    this.timeMs += byMs;
    const due = this.pendingSleeps.filter(({dueMs}) => dueMs <= this.timeMs);
    this.pendingSleeps = this.pendingSleeps.filter(
      ({dueMs}) => dueMs > this.timeMs,
    );
    for (const {wake} of due) wake();
  }
}
