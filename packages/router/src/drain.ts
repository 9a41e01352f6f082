/**
 * State of a graceful shutdown, in which the router announces that it is
 * draining, hands over its chat memory, waits for the requests in flight and
 * then exits. The steps themselves are in `lifecycle.ts`.
 */
import * as core from '@oleanderrock/core';
import * as fleet from './fleet.js';

/** State of the graceful shutdown. */
export interface Drain {
  isDraining(): boolean;
  /** Starts the drain: from now on this router owns no endpoints. */
  begin(): void;
  /** Requests the shutdown; true for the first such request. */
  requestShutdown(): boolean;
  /** Resolves when an operator has requested the shutdown. */
  waitForShutdownRequest(): Promise<void>;
  /** Counts a request as in flight until the returned function is called. */
  trackRequest(): () => void;
  /** Requests in flight at this router. */
  inFlight(): number;
  /** Waits until no request is in flight; false if `timeoutMs` passed first. */
  waitUntilIdle(timeoutMs: number): Promise<boolean>;
}

/** The contract under which the drain is registered. */
export const DRAIN = core.contract<Drain>('drain', [
  'isDraining',
  'begin',
  'requestShutdown',
  'waitForShutdownRequest',
  'trackRequest',
  'waitUntilIdle',
]);

/** Drain state with a count of the requests in flight. */
export class CountedDrain implements Drain {
  private isStarted = false;
  private requestCount = 0;
  private isShutdownRequested = false;
  private resolveShutdown: () => void = () => undefined;
  private readonly shutdownPromise = new Promise<void>(
    resolve => (this.resolveShutdown = resolve),
  );
  private endIdleWait: (() => void) | undefined;

  constructor(private readonly kernel: core.Kernel) {}

  isDraining(): boolean {
    return this.isStarted;
  }

  begin(): void {
    this.isStarted = true;
    const fleetView = this.kernel.find(fleet.FLEET);
    fleetView.setDraining(fleetView.self(), true);
  }

  requestShutdown(): boolean {
    const isFirst = !this.isShutdownRequested;
    this.isShutdownRequested = true;
    this.resolveShutdown();
    return isFirst;
  }

  waitForShutdownRequest(): Promise<void> {
    return this.shutdownPromise;
  }

  trackRequest(): () => void {
    this.requestCount++;
    return () => {
      this.requestCount--;
      if (this.requestCount === 0) this.endIdleWait?.();
    };
  }

  inFlight(): number {
    return this.requestCount;
  }

  async waitUntilIdle(timeoutMs: number): Promise<boolean> {
    const clock = this.kernel.find(core.CLOCK);
    const deadlineMs = clock.nowMs() + timeoutMs;
    while (this.requestCount > 0 && clock.nowMs() < deadlineMs) {
      const stopWaiting = new AbortController();
      this.endIdleWait = () => stopWaiting.abort();
      await clock.sleep(deadlineMs - clock.nowMs(), stopWaiting.signal);
    }
    return this.requestCount === 0;
  }
}
