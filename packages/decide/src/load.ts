/**
 * Load of endpoints, put together from the router's own counts, the counts
 * that other routers send, and the endpoints' own reports.
 */

/** One router's count of its requests in flight at one endpoint. */
export interface RemoteCount {
  readonly endpoint: string;
  readonly router: string;
  readonly inFlight: number;
}

/** An endpoint's own report, with the time at which its figures were true. */
export interface Report {
  readonly endpoint: string;
  readonly inFlight: number;
  /** Monotonic time at the reading router, the report's age taken off. */
  readonly takenAtMs: number;
}

/** Book of the load of every endpoint. */
export interface LoadBook {
  /** Counts one request of this router more; call `ended` once for each. */
  began(endpoint: string): void;
  ended(endpoint: string): void;
  /** This router's own requests in flight at the endpoint. */
  own(endpoint: string): number;
  /** Takes in all counts of a router, in place of its earlier ones. */
  learn(router: string, counts: readonly RemoteCount[], nowMs: number): void;
  /** Drops the counts of a router that is gone. */
  forget(router: string): void;
  report(report: Report): void;
  /** Notes that this router has just become the endpoint's owner. */
  tookOver(endpoint: string, nowMs: number): void;
  /**
   * Requests in flight at the endpoint: own count and other routers' fresh
   * counts; for a new owner not less than the report, until a report is
   * younger than the take-over.
   */
  inFlight(endpoint: string, nowMs: number): number;
  /** Sum over the endpoints; those never heard of count as the mean. */
  poolInFlight(endpoints: readonly string[], nowMs: number): number;
}

/** How long a counted load holds. */
export interface CountedLoadBookOptions {
  /** Other routers' counts older than this do not count. */
  readonly staleMs: number;
}

interface RemoteLoad {
  readonly inFlight: number;
  readonly learnedAtMs: number;
}

interface EndpointLoad {
  own: number;
  readonly remote: Map<string, RemoteLoad>;
  /** Whether any router's count, this one's included, was ever known. */
  isCounted: boolean;
  report?: Report;
  /** Set while the newest report is not younger than the take-over. */
  tookOverMs?: number;
}

/** Adds the routers' counts; leans on reports just after a take-over. */
export class CountedLoadBook implements LoadBook {
  private readonly staleMs: number;
  private readonly loads = new Map<string, EndpointLoad>();
  private readonly learned = new Map<string, readonly string[]>();

  constructor(options: CountedLoadBookOptions) {
    this.staleMs = options.staleMs;
  }

  began(endpoint: string): void {
    this.counted(endpoint).own += 1;
  }

  ended(endpoint: string): void {
    const load = this.counted(endpoint);
    load.own = Math.max(0, load.own - 1);
  }

  own(endpoint: string): number {
    return this.loads.get(endpoint)?.own ?? 0;
  }

  learn(router: string, counts: readonly RemoteCount[], nowMs: number): void {
    this.forget(router);
    for (const {endpoint, inFlight} of counts) {
      const remote = {inFlight, learnedAtMs: nowMs};
      this.counted(endpoint).remote.set(router, remote);
    }
    this.learned.set(
      router,
      counts.map(count => count.endpoint),
    );
  }

  forget(router: string): void {
    for (const endpoint of this.learned.get(router) ?? []) {
      this.loads.get(endpoint)?.remote.delete(router);
    }
    this.learned.delete(router);
  }

  report(report: Report): void {
    const load = this.load(report.endpoint);
    if (load.report && load.report.takenAtMs >= report.takenAtMs) return;
    load.report = report;
    if (load.tookOverMs === undefined) return;
    if (report.takenAtMs > load.tookOverMs) load.tookOverMs = undefined;
  }

  tookOver(endpoint: string, nowMs: number): void {
    this.counted(endpoint).tookOverMs = nowMs;
  }

  inFlight(endpoint: string, nowMs: number): number {
    const load = this.loads.get(endpoint);
    return load ? this.sum(load, nowMs) : 0;
  }

  poolInFlight(endpoints: readonly string[], nowMs: number): number {
    let sum = 0;
    let known = 0;
    for (const endpoint of endpoints) {
      const inFlight = this.estimate(endpoint, nowMs);
      if (inFlight === undefined) continue;
      sum += inFlight;
      known += 1;
    }
    if (known === 0) return 0;
    return Math.round((sum * endpoints.length) / known);
  }

  private sum(load: EndpointLoad, nowMs: number): number {
    let sum = load.own;
    for (const {inFlight, learnedAtMs} of load.remote.values()) {
      if (nowMs - learnedAtMs <= this.staleMs) sum += inFlight;
    }
    if (load.tookOverMs === undefined) return sum;
    return Math.max(sum, load.report?.inFlight ?? 0);
  }

  /** The load, the bare report where nobody counts, undefined if unheard of. */
  private estimate(endpoint: string, nowMs: number): number | undefined {
    const load = this.loads.get(endpoint);
    if (!load) return undefined;
    return load.isCounted ? this.sum(load, nowMs) : load.report?.inFlight;
  }

  private load(endpoint: string): EndpointLoad {
    const found = this.loads.get(endpoint);
    if (found) return found;
    const fresh = {own: 0, remote: new Map(), isCounted: false};
    this.loads.set(endpoint, fresh);
    return fresh;
  }

  private counted(endpoint: string): EndpointLoad {
    const load = this.load(endpoint);
    load.isCounted = true;
    return load;
  }
}

/** Knows its own counts and the endpoints' last reports only. */
export class NaiveLoadBook implements LoadBook {
  private readonly counts = new Map<string, number>();
  private readonly reports = new Map<string, number>();

  began(endpoint: string): void {
    this.counts.set(endpoint, this.own(endpoint) + 1);
  }

  ended(endpoint: string): void {
    this.counts.set(endpoint, Math.max(0, this.own(endpoint) - 1));
  }

  own(endpoint: string): number {
    return this.counts.get(endpoint) ?? 0;
  }

  learn(): void {}

  forget(): void {}

  report(report: Report): void {
    this.reports.set(report.endpoint, report.inFlight);
  }

  tookOver(): void {}

  inFlight(endpoint: string): number {
    return Math.max(this.own(endpoint), this.reports.get(endpoint) ?? 0);
  }

  poolInFlight(endpoints: readonly string[]): number {
    let sum = 0;
    for (const endpoint of endpoints) sum += this.inFlight(endpoint);
    return sum;
  }
}
