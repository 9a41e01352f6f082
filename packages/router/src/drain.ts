/**
 * Drain: a graceful stop. The router tells the others that it is leaving,
 * hands its memory over, waits for the requests in flight and then ends.
 */
import * as core from '@oleanderrock/core';
import * as fleet from './fleet.js';

/** State of the graceful stop. */
export interface Drain {
  isDraining(): boolean;
  begin(): void;
  /** Asks the program to drain and end; true where it was not asked yet. */
  ask(): boolean;
  /** Resolves when an operator has asked for the end. */
  asked(): Promise<void>;
  /** Counts a request in flight; the returned function ends it. */
  enter(): () => void;
  /** Requests in flight at this router. */
  inFlight(): number;
  /** Resolves when no request is in flight, or after `timeoutMs`. */
  idle(timeoutMs: number): Promise<boolean>;
}

/** The contract under which the drain is registered. */
export const DRAIN = core.contract<Drain>('drain', [
  'isDraining',
  'begin',
  'ask',
  'asked',
  'enter',
  'idle',
]);

/** Drain by a count of the requests in flight. */
export class CountedDrain implements Drain {
  private isLeaving = false;
  private count = 0;
  private isAsked = false;
  private settle: () => void = () => undefined;
  private readonly wish = new Promise<void>(done => (this.settle = done));
  private wake: (() => void) | undefined;

  constructor(private readonly kernel: core.Kernel) {}

  isDraining(): boolean {
    return this.isLeaving;
  }

  begin(): void {
    this.isLeaving = true;
    const known = this.kernel.find(fleet.FLEET);
    known.setDraining(known.self(), true);
  }

  ask(): boolean {
    const isFirst = !this.isAsked;
    this.isAsked = true;
    this.settle();
    return isFirst;
  }

  asked(): Promise<void> {
    return this.wish;
  }

  enter(): () => void {
    this.count++;
    return () => {
      this.count--;
      if (this.count === 0) this.wake?.();
    };
  }

  inFlight(): number {
    return this.count;
  }

  async idle(timeoutMs: number): Promise<boolean> {
    const clock = this.kernel.find(core.CLOCK);
    const deadlineMs = clock.nowMs() + timeoutMs;
    while (this.count > 0 && clock.nowMs() < deadlineMs) {
      const stop = new AbortController();
      this.wake = () => stop.abort();
      await clock.sleep(deadlineMs - clock.nowMs(), stop.signal);
    }
    return this.count === 0;
  }
}
