/** The clock service. Tests register a simulated clock in its place. */
import * as kernel from './kernel.js';

/** Source of monotonic and wall-clock time, in milliseconds. */
export interface Clock {
  /** Monotonic time in ms: never goes back, and has an arbitrary origin. */
  nowMs(): number;
  /** Wall-clock time in ms since the Unix epoch; it may jump. */
  wallClockMs(): number;
  /** Resolves after `delayMs`, or at once when `signal` aborts. */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}

/** Kernel contract of the clock. */
export const CLOCK = kernel.contract<Clock>('clock', [
  'nowMs',
  'wallClockMs',
  'sleep',
]);

/** Clock of the operating system. */
export class SystemClock implements Clock {
  nowMs(): number {
    return performance.now();
  }

  wallClockMs(): number {
    return Date.now();
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, delayMs);
      signal?.addEventListener('abort', finish, {once: true});
    });
  }
}
