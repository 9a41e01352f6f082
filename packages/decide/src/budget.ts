/** Rate limit in bytes for control traffic: a token bucket. */

/** Options of `ByteBudget`. */
export interface ByteBudgetOptions {
  readonly bytesPerSecond: number;
  /** Capacity of the bucket, and its level at the start. */
  readonly burstBytes: number;
}

/** Token bucket of bytes, refilled at a fixed rate. */
export class ByteBudget {
  private availableBytes: number;
  private refilledAtMs: number | undefined;

  constructor(private readonly options: ByteBudgetOptions) {
    this.availableBytes = options.burstBytes;
  }

  /**
   * Takes `bytes` out of the bucket. Returns false, and takes nothing, if fewer
   * than `bytes + reserve` are available.
   * @param reserve bytes that must remain for more urgent messages
   */
  trySpend(bytes: number, nowMs: number, reserve = 0): boolean {
    this.refill(nowMs);
    if (this.availableBytes < bytes + reserve) return false;
    this.availableBytes -= bytes;
    return true;
  }

  /** Whether any bytes are available. */
  hasAvailable(nowMs: number): boolean {
    this.refill(nowMs);
    return this.availableBytes > 0;
  }

  /** Takes `bytes` out of the bucket, also those that are yet to be refilled. */
  spend(bytes: number, nowMs: number): void {
    this.refill(nowMs);
    this.availableBytes -= bytes;
  }

  private refill(nowMs: number): void {
    const elapsedMs = nowMs - (this.refilledAtMs ?? nowMs);
    const refillBytes = (elapsedMs * this.options.bytesPerSecond) / 1_000;
    this.availableBytes = Math.min(
      this.options.burstBytes,
      this.availableBytes + refillBytes,
    );
    this.refilledAtMs = nowMs;
  }
}
