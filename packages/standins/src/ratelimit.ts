/** A limit on how often something may happen in any one second. */

const WINDOW_MS = 1_000;

/** Counts the events of the last second. */
export class RateLimit {
  private readonly takenMs: number[] = [];

  /** Takes one place of `perSecond`; false where none is left. */
  take(nowMs: number, perSecond: number): boolean {
    const live = this.takenMs.findIndex(at => at > nowMs - WINDOW_MS);
    this.takenMs.splice(0, live < 0 ? this.takenMs.length : live);
    if (this.takenMs.length >= perSecond) return false;
    this.takenMs.push(nowMs);
    return true;
  }
}
