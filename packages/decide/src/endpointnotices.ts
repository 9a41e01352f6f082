/**
 * What endpoints have announced about themselves in their responses. A notice
 * holds for one lifetime of an endpoint, whatever older sources say of it. All
 * times are monotonic, in ms.
 */

/** Keeps the notices of endpoints, by a key of one lifetime of each. */
export interface EndpointNotices {
  /** Records that the endpoint shuts down. Returns false if that was known. */
  recordLeaving(lifetime: string): boolean;
  /**
   * Records that the endpoint wants no requests until then; the latest end
   * holds. Returns false if the endpoint was already held off.
   */
  recordHoldOff(lifetime: string, untilMs: number, nowMs: number): boolean;
  /** Whether the endpoint accepts requests of this router. */
  isWilling(lifetime: string, nowMs: number): boolean;
  /**
   * The time at which the first of the endpoints accepts requests, `nowMs` if
   * one does already; undefined if all are leaving.
   */
  earliestWillingMs(
    lifetimes: readonly string[],
    nowMs: number,
  ): number | undefined;
  /** Drops the notices of a lifetime that has ended for good. */
  forget(lifetime: string): void;
}

/** Maximum number of lifetimes whose notices are kept. */
const MAX_LIFETIMES = 4_096;

/** Keeps the notices of the lifetimes that gave one last. */
export class RecentEndpointNotices implements EndpointNotices {
  /**
   * End of the hold-off, infinite for a leaving endpoint, in the order in which
   * they were recorded.
   */
  private readonly unwillingUntilMs = new Map<string, number>();

  constructor(private readonly maxLifetimes = MAX_LIFETIMES) {}

  recordLeaving(lifetime: string): boolean {
    const isKnown = this.endMs(lifetime) === Number.POSITIVE_INFINITY;
    this.set(lifetime, Number.POSITIVE_INFINITY);
    return !isKnown;
  }

  recordHoldOff(lifetime: string, untilMs: number, nowMs: number): boolean {
    const wasWilling = this.isWilling(lifetime, nowMs);
    this.set(lifetime, Math.max(untilMs, this.endMs(lifetime)));
    return wasWilling && untilMs > nowMs;
  }

  isWilling(lifetime: string, nowMs: number): boolean {
    return this.endMs(lifetime) <= nowMs;
  }

  earliestWillingMs(
    lifetimes: readonly string[],
    nowMs: number,
  ): number | undefined {
    const endsMs = lifetimes.map(lifetime => this.endMs(lifetime));
    const earliestMs = Math.min(...endsMs);
    return earliestMs === Number.POSITIVE_INFINITY
      ? undefined
      : Math.max(nowMs, earliestMs);
  }

  forget(lifetime: string): void {
    this.unwillingUntilMs.delete(lifetime);
  }

  private endMs(lifetime: string): number {
    return this.unwillingUntilMs.get(lifetime) ?? Number.NEGATIVE_INFINITY;
  }

  private set(lifetime: string, untilMs: number): void {
    // Deleting first moves a known lifetime to the end.
    this.unwillingUntilMs.delete(lifetime);
    this.unwillingUntilMs.set(lifetime, untilMs);
    if (this.unwillingUntilMs.size <= this.maxLifetimes) return;
    const [oldest] = this.unwillingUntilMs.keys();
    this.unwillingUntilMs.delete(oldest!);
  }
}

/** Baseline: every endpoint counts as willing. */
export class NaiveEndpointNotices implements EndpointNotices {
  recordLeaving(): boolean {
    return false;
  }

  recordHoldOff(): boolean {
    return false;
  }

  isWilling(): boolean {
    return true;
  }

  earliestWillingMs(
    lifetimes: readonly string[],
    nowMs: number,
  ): number | undefined {
    return lifetimes.length > 0 ? nowMs : undefined;
  }

  forget(): void {}
}
