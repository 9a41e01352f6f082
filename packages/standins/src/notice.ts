/** Wakes the tasks that wait for a change, so that no long poll spins. */
import type * as core from '@oleanderrock/core';

/** A change that tasks wait for. */
export class Notice {
  private readonly waiting = new Set<AbortController>();

  constructor(private readonly clock: core.Clock) {}

  /** Resolves at the next change, after `maxMs`, or when `signal` aborts. */
  async wait(maxMs: number, signal: AbortSignal): Promise<void> {
    const alarm = new AbortController();
    const end = () => alarm.abort();
    this.waiting.add(alarm);
    signal.addEventListener('abort', end, {once: true});
    if (!signal.aborted) await this.clock.sleep(maxMs, alarm.signal);
    signal.removeEventListener('abort', end);
    this.waiting.delete(alarm);
  }

  /** Tells all waiting tasks of a change. */
  announce(): void {
    for (const alarm of this.waiting) alarm.abort();
  }
}
