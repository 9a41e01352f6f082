/**
 * What endpoints have announced about themselves in their responses. A notice
 * holds for one lifetime of an endpoint, whatever older sources say of it. All
 * times but that of a start are monotonic, in ms.
 */

/** One lifetime of an endpoint, which may start again under the same id. */
export interface EndpointLifetime {
  readonly id: string;
  /** Wall-clock time of the start, in ms; absent if the endpoint gives none. */
  readonly bornMs?: number;
}

/** Keeps the notices of endpoints. */
export interface EndpointNotices {
  /** Records that the endpoint shuts down. Returns false if that was known. */
  recordLeaving(lifetime: EndpointLifetime): boolean;
  /**
   * Records that the endpoint wants no requests until then; the latest end
   * holds. Returns false if the endpoint was already held off.
   */
  recordHoldOff(
    lifetime: EndpointLifetime,
    untilMs: number,
    nowMs: number,
  ): boolean;
  /** Whether the endpoint accepts requests of this router. */
  isWilling(lifetime: EndpointLifetime, nowMs: number): boolean;
  /**
   * The time at which the first of the endpoints accepts requests, `nowMs` if
   * one does already; undefined if all are leaving.
   */
  earliestWillingMs(
    lifetimes: readonly EndpointLifetime[],
    nowMs: number,
  ): number | undefined;
}

/** Maximum number of endpoints whose notices are kept. */
const MAX_ENDPOINTS = 4_096;

interface Notice {
  readonly bornMs: number | undefined;
  /** End of the hold-off; infinite for a leaving endpoint. */
  readonly untilMs: number;
}

/**
 * Keeps the notices of one lifetime of each endpoint, for the endpoints that gave
 * one last.
 */
export class RecentEndpointNotices implements EndpointNotices {
  /** By id, in the order in which they were recorded. */
  private readonly notices = new Map<string, Notice>();

  constructor(private readonly maxEndpoints = MAX_ENDPOINTS) {}

  recordLeaving(lifetime: EndpointLifetime): boolean {
    const isKnown = this.endMs(lifetime) === Number.POSITIVE_INFINITY;
    this.record(lifetime, Number.POSITIVE_INFINITY);
    return !isKnown;
  }

  recordHoldOff(
    lifetime: EndpointLifetime,
    untilMs: number,
    nowMs: number,
  ): boolean {
    const wasWilling = this.isWilling(lifetime, nowMs);
    this.record(lifetime, Math.max(untilMs, this.endMs(lifetime)));
    return wasWilling && untilMs > nowMs;
  }

  isWilling(lifetime: EndpointLifetime, nowMs: number): boolean {
    return this.endMs(lifetime) <= nowMs;
  }

  earliestWillingMs(
    lifetimes: readonly EndpointLifetime[],
    nowMs: number,
  ): number | undefined {
    const endsMs = lifetimes.map(lifetime => this.endMs(lifetime));
    const earliestMs = Math.min(...endsMs);
    return earliestMs === Number.POSITIVE_INFINITY
      ? undefined
      : Math.max(nowMs, earliestMs);
  }

  private endMs({id, bornMs}: EndpointLifetime): number {
    const notice = this.notices.get(id);
    return notice && notice.bornMs === bornMs
      ? notice.untilMs
      : Number.NEGATIVE_INFINITY;
  }

  private record({id, bornMs}: EndpointLifetime, untilMs: number): void {
    // Deleting first moves a known endpoint to the end.
    this.notices.delete(id);
    this.notices.set(id, {bornMs, untilMs});
    if (this.notices.size <= this.maxEndpoints) return;
    const [oldest] = this.notices.keys();
    this.notices.delete(oldest!);
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
    lifetimes: readonly EndpointLifetime[],
    nowMs: number,
  ): number | undefined {
    return lifetimes.length > 0 ? nowMs : undefined;
  }
}
