/**
 * A limit on the log lines of one event, so that a flood of requests does not
 * become a flood of lines. The number of skipped lines is logged.
 */
import type * as logger from './logger.js';

const WINDOW_MS = 1_000;

/** Limits the log lines of one event in a second. */
export class LogQuota {
  private windowStartMs = Number.NEGATIVE_INFINITY;
  private lineCount = 0;
  private skippedCount = 0;

  constructor(
    /** Name of the event; skipped lines are logged as `EVENT_lines_skipped`. */
    private readonly event: string,
    private readonly maxPerSecond: number,
    private readonly log: logger.Logger,
  ) {}

  /** Whether another line may be logged at the monotonic time, in ms. */
  consume(nowMs: number): boolean {
    if (nowMs - this.windowStartMs >= WINDOW_MS) this.startWindow(nowMs);
    this.lineCount += 1;
    if (this.lineCount <= this.maxPerSecond) return true;
    this.skippedCount += 1;
    return false;
  }

  private startWindow(nowMs: number): void {
    if (this.skippedCount > 0) {
      const count = this.skippedCount;
      this.log.info(`${this.event}_lines_skipped`, {count});
    }
    this.windowStartMs = nowMs;
    this.lineCount = 0;
    this.skippedCount = 0;
  }
}
