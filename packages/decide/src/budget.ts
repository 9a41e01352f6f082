/** A byte budget for control traffic: a token bucket. */

/** Options of a budget. */
export interface ByteBudgetOptions {
  readonly bytesPerSecond: number;
  /** Most bytes that may be saved up. */
  readonly burstBytes: number;
}

/** Bucket that fills at a set rate; what it does not hold is not sent. */
export class ByteBudget {
  private level: number;
  private filledMs: number | undefined;

  constructor(private readonly options: ByteBudgetOptions) {
    this.level = options.burstBytes;
  }

  /**
   * Takes bytes out; false where fewer than `bytes + reserve` are left.
   * @param reserve bytes that stay for more urgent messages
   */
  spend(bytes: number, nowMs: number, reserve = 0): boolean {
    this.fill(nowMs);
    if (this.level < bytes + reserve) return false;
    this.level -= bytes;
    return true;
  }

  private fill(nowMs: number): void {
    const elapsedMs = nowMs - (this.filledMs ?? nowMs);
    const gained = (elapsedMs * this.options.bytesPerSecond) / 1_000;
    this.level = Math.min(this.options.burstBytes, this.level + gained);
    this.filledMs = nowMs;
  }
}
