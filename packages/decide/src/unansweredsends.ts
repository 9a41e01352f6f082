/**
 * Requests whose first event has not come. One that is overdue tells that its
 * endpoint is slow before any answer does.
 */

/** A request that an endpoint has not begun to answer. */
export interface UnansweredSend {
  readonly sentAtMs: number;
  /** Expected time until its first event, in ms. */
  readonly expectedMs: number;
}

/** Ratio above which a request is overdue; below it, estimates are too rough. */
const MIN_OVERDUE = 1.5;
const MAX_OVERDUE = 6;

/** Shortest delay that says anything, in ms. */
const MIN_OVERDUE_MS = 30;

/** Unanswered requests of this router, by endpoint. */
export class UnansweredSends {
  private readonly sendsByEndpoint = new Map<string, Set<UnansweredSend>>();

  add(endpoint: string, send: UnansweredSend): void {
    const sends = this.sendsByEndpoint.get(endpoint);
    if (sends) sends.add(send);
    else this.sendsByEndpoint.set(endpoint, new Set([send]));
  }

  remove(endpoint: string, send: UnansweredSend): void {
    const sends = this.sendsByEndpoint.get(endpoint);
    sends?.delete(send);
    if (sends?.size === 0) this.sendsByEndpoint.delete(endpoint);
  }

  /**
   * How much longer the oldest unanswered request has taken than expected, as a
   * ratio; 1 if it is not overdue.
   */
  overdueRatio(endpoint: string, nowMs: number): number {
    const sends = this.sendsByEndpoint.get(endpoint);
    if (!sends) return 1;
    const [oldest] = sends;
    if (!oldest) return 1;
    const waitedMs = nowMs - oldest.sentAtMs;
    if (waitedMs < oldest.expectedMs + MIN_OVERDUE_MS) return 1;
    const ratio = waitedMs / oldest.expectedMs;
    return ratio < MIN_OVERDUE ? 1 : Math.min(MAX_OVERDUE, ratio);
  }
}
