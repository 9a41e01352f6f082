/**
 * Health of endpoints by the outcomes of requests, over all routers: a share of
 * failures well above that of the pool, or an endpoint that cannot be reached,
 * keeps new requests away for a while.
 */

/** Outcomes of one endpoint, older ones counting less. */
export interface Outcomes {
  readonly good: number;
  readonly failed: number;
}

/** Health of the endpoints of a pool. */
export interface EndpointHealth {
  succeeded(endpoint: string, nowMs: number): void;
  failed(endpoint: string, nowMs: number): void;
  /** No connection can be made to the endpoint from here. */
  unreachable(endpoint: string, nowMs: number): void;
  /** Takes in what another router saw. */
  learn(
    router: string,
    outcomes: ReadonlyMap<string, Outcomes>,
    nowMs: number,
  ): void;
  /** What this router saw of late, for the others. */
  own(nowMs: number): ReadonlyMap<string, Outcomes>;
  /**
   * The endpoints that may get new requests. Where most would be kept away,
   * the router suspects its own view and keeps away only what it cannot reach.
   */
  usable(pool: readonly string[], nowMs: number): readonly string[];
  /** Whether connections to the endpoint could be made of late. */
  isReachable(endpoint: string, nowMs: number): boolean;
  /** Drops an endpoint that is gone. */
  forget(endpoint: string): void;
}

/** Time in which an outcome loses half of its weight, in ms. */
const HALF_LIFE_MS = 2_000;

/** Weight of outcomes below which no share is judged. */
const MIN_WEIGHT = 3;

/** Share of failures above which an endpoint is kept away from. */
const MAX_FAILED_SHARE = 0.3;

/** How far above the pool's share of failures that has to be, as a factor. */
const ABOVE_POOL = 1.8;

/** First time for which an unreachable endpoint gets no request, in ms. */
const FIRST_AWAY_MS = 500;

/** Longest such time, in ms: engines are back after some seconds. */
const MAX_AWAY_MS = 2_000;

/** How long another router's outcomes hold, in ms. */
const TOLD_VALID_MS = 2_500;

/** Weights below this are not told. */
const MIN_TOLD = 0.2;

interface Seen {
  good: number;
  failed: number;
  atMs: number;
  awayUntilMs: number;
  awayMs: number;
}

interface Told {
  readonly outcomes: ReadonlyMap<string, Outcomes>;
  readonly untilMs: number;
}

/** Judges by decaying counts. */
export class DecayingHealth implements EndpointHealth {
  private readonly seen = new Map<string, Seen>();
  private readonly told = new Map<string, Told>();

  succeeded(endpoint: string, nowMs: number): void {
    const seen = this.decayed(endpoint, nowMs);
    seen.good += 1;
    seen.awayMs = 0;
    seen.awayUntilMs = 0;
  }

  failed(endpoint: string, nowMs: number): void {
    this.decayed(endpoint, nowMs).failed += 1;
  }

  unreachable(endpoint: string, nowMs: number): void {
    const seen = this.decayed(endpoint, nowMs);
    if (nowMs < seen.awayUntilMs) return;
    seen.failed += 1;
    seen.awayMs = Math.min(MAX_AWAY_MS, seen.awayMs * 2 || FIRST_AWAY_MS);
    seen.awayUntilMs = nowMs + seen.awayMs;
  }

  learn(
    router: string,
    outcomes: ReadonlyMap<string, Outcomes>,
    nowMs: number,
  ): void {
    this.told.set(router, {outcomes, untilMs: nowMs + TOLD_VALID_MS});
  }

  own(nowMs: number): ReadonlyMap<string, Outcomes> {
    const outcomes = new Map<string, Outcomes>();
    for (const endpoint of this.seen.keys()) {
      const {good, failed} = this.decayed(endpoint, nowMs);
      if (good + failed > MIN_TOLD) outcomes.set(endpoint, {good, failed});
    }
    return outcomes;
  }

  usable(pool: readonly string[], nowMs: number): readonly string[] {
    const reachable = pool.filter(id => this.isReachable(id, nowMs));
    if (reachable.length === 0) return pool;
    const sums = reachable.map(id => ({id, outcomes: this.sum(id, nowMs)}));
    const limit = failureLimit(sums.map(({outcomes}) => outcomes));
    const kept = sums
      .filter(({outcomes}) => !isFailing(outcomes, limit))
      .map(({id}) => id);
    return kept.length * 2 >= reachable.length ? kept : reachable;
  }

  isReachable(endpoint: string, nowMs: number): boolean {
    return (this.seen.get(endpoint)?.awayUntilMs ?? 0) <= nowMs;
  }

  forget(endpoint: string): void {
    this.seen.delete(endpoint);
  }

  private sum(endpoint: string, nowMs: number): Outcomes {
    let {good, failed}: Outcomes = this.seen.has(endpoint)
      ? this.decayed(endpoint, nowMs)
      : {good: 0, failed: 0};
    for (const [router, {outcomes, untilMs}] of this.told) {
      const other = outcomes.get(endpoint);
      if (untilMs < nowMs) this.told.delete(router);
      else if (other) {
        good += other.good;
        failed += other.failed;
      }
    }
    return {good, failed};
  }

  private decayed(endpoint: string, nowMs: number): Seen {
    let seen = this.seen.get(endpoint);
    if (!seen) {
      seen = {good: 0, failed: 0, atMs: nowMs, awayUntilMs: 0, awayMs: 0};
      this.seen.set(endpoint, seen);
    }
    const factor = 0.5 ** ((nowMs - seen.atMs) / HALF_LIFE_MS);
    seen.good *= factor;
    seen.failed *= factor;
    seen.atMs = nowMs;
    return seen;
  }
}

function failureLimit(shares: readonly Outcomes[]): number {
  const good = shares.reduce((sum, item) => sum + item.good, 0);
  const failed = shares.reduce((sum, item) => sum + item.failed, 0);
  const mean = failed / Math.max(1, good + failed);
  return Math.max(MAX_FAILED_SHARE, mean * ABOVE_POOL);
}

function isFailing({good, failed}: Outcomes, limit: number): boolean {
  const weight = good + failed;
  return weight >= MIN_WEIGHT && failed / weight > limit;
}

/** Takes every endpoint for healthy: the naive version. */
export class NaiveHealth implements EndpointHealth {
  succeeded(): void {}

  failed(): void {}

  unreachable(): void {}

  learn(): void {}

  own(): ReadonlyMap<string, Outcomes> {
    return new Map();
  }

  usable(pool: readonly string[]): readonly string[] {
    return pool;
  }

  isReachable(): boolean {
    return true;
  }

  forget(): void {}
}
