/**
 * Load of endpoints, combined from this router's own counts, the counts in
 * other routers' digests, and the load that the endpoints themselves report.
 */

/** Another router's count of its requests in flight at one endpoint. */
export interface RemoteCount {
  readonly endpoint: string;
  readonly router: string;
  readonly inFlight: number;
}

/** Load reported by an endpoint itself. */
export interface LoadReport {
  readonly endpoint: string;
  readonly inFlight: number;
  /**
   * When the load was measured, on the reader's monotonic clock: the time of
   * receipt minus the age of the report.
   */
  readonly takenAtMs: number;
}

/** Tracks the load of every endpoint. */
export interface LoadTracker {
  /** Counts a request that this router sends; each needs one `recordEnd`. */
  recordStart(endpoint: string): void;
  recordEnd(endpoint: string): void;
  /** Requests of this router in flight at the endpoint. */
  localInFlight(endpoint: string): number;
  /** Replaces all counts received from another router. */
  applyRemote(
    router: string,
    counts: readonly RemoteCount[],
    nowMs: number,
  ): void;
  /** Drops the counts of a router that is down or has left. */
  forget(router: string): void;
  recordReport(report: LoadReport): void;
  /** Records that this router has just become the endpoint's owner. */
  setOwned(endpoint: string, nowMs: number): void;
  /**
   * Requests in flight at the endpoint: this router's count plus the other
   * routers' counts that are not stale. After a change of owner, at least the
   * endpoint's last report, until a report was taken after the change.
   */
  inFlight(endpoint: string, nowMs: number): number;
  /** Sum over the endpoints; any without data count as the others' mean. */
  poolInFlight(endpoints: readonly string[], nowMs: number): number;
}

/** Options of `CombinedLoadTracker`. */
export interface CombinedLoadTrackerOptions {
  /** Age above which other routers' counts are ignored. */
  readonly staleMs: number;
}

interface RemoteLoad {
  readonly inFlight: number;
  readonly receivedAtMs: number;
}

interface EndpointLoad {
  localCount: number;
  readonly remoteCounts: Map<string, RemoteLoad>;
  /** Whether a count was ever recorded, by this router or another one. */
  isCounted: boolean;
  report?: LoadReport;
  /** Time of the change of owner; reset by a report taken after it. */
  ownedSinceMs?: number;
}

/**
 * Adds the routers' counts. Just after a change of owner, the endpoint's last
 * report serves as a lower limit.
 */
export class CombinedLoadTracker implements LoadTracker {
  private readonly staleMs: number;
  private readonly loads = new Map<string, EndpointLoad>();
  private readonly endpointsByRouter = new Map<string, readonly string[]>();

  constructor(options: CombinedLoadTrackerOptions) {
    this.staleMs = options.staleMs;
  }

  recordStart(endpoint: string): void {
    this.markCounted(endpoint).localCount += 1;
  }

  recordEnd(endpoint: string): void {
    const load = this.markCounted(endpoint);
    load.localCount = Math.max(0, load.localCount - 1);
  }

  localInFlight(endpoint: string): number {
    return this.loads.get(endpoint)?.localCount ?? 0;
  }

  applyRemote(
    router: string,
    counts: readonly RemoteCount[],
    nowMs: number,
  ): void {
    this.forget(router);
    for (const {endpoint, inFlight} of counts) {
      const count = {inFlight, receivedAtMs: nowMs};
      this.markCounted(endpoint).remoteCounts.set(router, count);
    }
    this.endpointsByRouter.set(
      router,
      counts.map(count => count.endpoint),
    );
  }

  forget(router: string): void {
    for (const endpoint of this.endpointsByRouter.get(router) ?? []) {
      this.loads.get(endpoint)?.remoteCounts.delete(router);
    }
    this.endpointsByRouter.delete(router);
  }

  recordReport(report: LoadReport): void {
    const load = this.findOrCreateLoad(report.endpoint);
    if (load.report && load.report.takenAtMs >= report.takenAtMs) return;
    load.report = report;
    if (load.ownedSinceMs === undefined) return;
    if (report.takenAtMs > load.ownedSinceMs) load.ownedSinceMs = undefined;
  }

  setOwned(endpoint: string, nowMs: number): void {
    this.markCounted(endpoint).ownedSinceMs = nowMs;
  }

  inFlight(endpoint: string, nowMs: number): number {
    const load = this.loads.get(endpoint);
    return load ? this.sumCounts(load, nowMs) : 0;
  }

  poolInFlight(endpoints: readonly string[], nowMs: number): number {
    let sum = 0;
    let estimatedCount = 0;
    for (const endpoint of endpoints) {
      const inFlight = this.estimate(endpoint, nowMs);
      if (inFlight === undefined) continue;
      sum += inFlight;
      estimatedCount += 1;
    }
    if (estimatedCount === 0) return 0;
    return Math.round((sum * endpoints.length) / estimatedCount);
  }

  private sumCounts(load: EndpointLoad, nowMs: number): number {
    let sum = load.localCount;
    for (const {inFlight, receivedAtMs} of load.remoteCounts.values()) {
      if (nowMs - receivedAtMs <= this.staleMs) sum += inFlight;
    }
    if (load.ownedSinceMs === undefined) return sum;
    return Math.max(sum, load.report?.inFlight ?? 0);
  }

  /** The counts; the report alone if there are none; undefined if neither. */
  private estimate(endpoint: string, nowMs: number): number | undefined {
    const load = this.loads.get(endpoint);
    if (!load) return undefined;
    return load.isCounted ? this.sumCounts(load, nowMs) : load.report?.inFlight;
  }

  private findOrCreateLoad(endpoint: string): EndpointLoad {
    const existing = this.loads.get(endpoint);
    if (existing) return existing;
    const created = {localCount: 0, remoteCounts: new Map(), isCounted: false};
    this.loads.set(endpoint, created);
    return created;
  }

  /** Marks the endpoint as counted; returns its load. */
  private markCounted(endpoint: string): EndpointLoad {
    const load = this.findOrCreateLoad(endpoint);
    load.isCounted = true;
    return load;
  }
}

/** Baseline: uses this router's counts and the endpoints' last reports only. */
export class NaiveLoadTracker implements LoadTracker {
  private readonly counts = new Map<string, number>();
  private readonly reports = new Map<string, number>();

  recordStart(endpoint: string): void {
    this.counts.set(endpoint, this.localInFlight(endpoint) + 1);
  }

  recordEnd(endpoint: string): void {
    this.counts.set(endpoint, Math.max(0, this.localInFlight(endpoint) - 1));
  }

  localInFlight(endpoint: string): number {
    return this.counts.get(endpoint) ?? 0;
  }

  applyRemote(): void {}

  forget(): void {}

  recordReport(report: LoadReport): void {
    this.reports.set(report.endpoint, report.inFlight);
  }

  setOwned(): void {}

  inFlight(endpoint: string): number {
    return Math.max(
      this.localInFlight(endpoint),
      this.reports.get(endpoint) ?? 0,
    );
  }

  poolInFlight(endpoints: readonly string[]): number {
    let sum = 0;
    for (const endpoint of endpoints) sum += this.inFlight(endpoint);
    return sum;
  }
}
