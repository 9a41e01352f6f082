/** Rate limiter with a sliding window of one second. */

const WINDOW_MS = 1_000;

/** Admits a limited number of calls in any one second. */
export class RateLimit {
  private readonly admittedMs: number[] = [];

  /** Admits and counts a call; false if `perSecond` calls were admitted. */
  tryAdmit(nowMs: number, perSecond: number): boolean {
    const firstRecent = this.admittedMs.findIndex(
      atMs => atMs > nowMs - WINDOW_MS,
    );
    this.admittedMs.splice(
      0,
      firstRecent < 0 ? this.admittedMs.length : firstRecent,
    );
    if (this.admittedMs.length >= perSecond) return false;
    this.admittedMs.push(nowMs);
    return true;
  }
}
