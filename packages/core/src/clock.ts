/** Time as a service, so that a test can register a clock of its own. */
import * as kernel from './kernel.js';

/** Source of time, in milliseconds. */
export interface Clock {
  /** Monotonic time in ms; it never goes back and has no fixed origin. */
  nowMs(): number;
  /** Wall-clock time in ms since 1970; it may jump. */
  wallMs(): number;
  /** Resolves after `delayMs`, or at once when `signal` aborts. */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}

/** The contract under which the clock is registered. */
export const CLOCK = kernel.contract<Clock>('clock', [
  'nowMs',
  'wallMs',
  'sleep',
]);

/** The machine's clock. */
export class SystemClock implements Clock {
  nowMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const end = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', end);
        resolve();
      };
      const timer = setTimeout(end, delayMs);
      signal?.addEventListener('abort', end, {once: true});
    });
  }
}
