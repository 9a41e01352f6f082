/**
 * The clock of request time-outs: one timer for all connections of a listener.
 * Time in which the process was paused or busy does not count, and each check
 * follows a turn of reads, so that bytes which have arrived are seen before a
 * time-out is.
 */

/** Longest time between two checks, in ms. */
const MAX_INTERVAL_MS = 1_000;
/** Minimum number of checks within a time-out. */
const MIN_CHECKS = 4;
/** Multiple of the interval from which on a check is late and skipped. */
const LATE_INTERVALS = 2;

/** Calls `check` regularly with the time for which the process has run. */
export class RequestTimeouts {
  private readonly intervalMs: number;
  private timer: NodeJS.Timeout | undefined;
  private lastTickMs = 0;
  private runMs = 0;

  /**
   * @param timeoutMs the shortest time-out to be checked
   * @param check receives the time in ms, of an arbitrary origin
   */
  constructor(
    timeoutMs: number,
    private readonly check: (runMs: number) => void,
  ) {
    this.intervalMs = Math.min(MAX_INTERVAL_MS, timeoutMs / MIN_CHECKS);
  }

  /** Time for which the process has run as of the last tick, in ms. */
  get nowMs(): number {
    return this.runMs;
  }

  /** Starts the checks. */
  start(): void {
    this.lastTickMs = performance.now();
    this.timer = setInterval(() => this.tick(), this.intervalMs).unref();
  }

  /** Ends the checks. */
  stop(): void {
    clearInterval(this.timer);
  }

  private tick(): void {
    const nowMs = performance.now();
    const elapsedMs = nowMs - this.lastTickMs;
    this.lastTickMs = nowMs;
    if (elapsedMs > LATE_INTERVALS * this.intervalMs) return;
    this.runMs += Math.min(elapsedMs, this.intervalMs);
    setImmediate(() => this.check(this.runMs));
  }
}
