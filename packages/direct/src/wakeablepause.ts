/** A pause of a task that an event can end early. */
import type * as core from '@oleanderrock/core';

/** Lets one task wait for a time or an event. */
export class WakeablePause {
  private controller = new AbortController();

  constructor(private readonly clock: core.Clock) {}

  /** Waits for the delay, until `wake` is called or `signal` aborts. */
  async wait(delayMs: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    const controller = new AbortController();
    this.controller = controller;
    const onAbort = () => controller.abort();
    signal.addEventListener('abort', onAbort, {once: true});
    await this.clock.sleep(delayMs, controller.signal);
    signal.removeEventListener('abort', onAbort);
  }

  /** Ends the wait that is under way, if there is one. */
  wake(): void {
    this.controller.abort();
  }
}
