/** Condition variable: lets long polls wait for a change without spinning. */
import type * as core from '@oleanderrock/core';

/** Lets tasks wait until another task calls `notifyAll`. */
export class ConditionVariable {
  private readonly waiters = new Set<AbortController>();

  constructor(private readonly clock: core.Clock) {}

  /** Resolves on the next `notifyAll`, after `timeoutMs` or on abort. */
  async wait(timeoutMs: number, signal: AbortSignal): Promise<void> {
    const waiter = new AbortController();
    const wake = () => waiter.abort();
    this.waiters.add(waiter);
    signal.addEventListener('abort', wake, {once: true});
    if (!signal.aborted) await this.clock.sleep(timeoutMs, waiter.signal);
    signal.removeEventListener('abort', wake);
    this.waiters.delete(waiter);
  }

  /** Wakes all waiting tasks. */
  notifyAll(): void {
    for (const waiter of this.waiters) waiter.abort();
  }
}
