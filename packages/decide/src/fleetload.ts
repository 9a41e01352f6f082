/**
 * Load of endpoints over the whole fleet. In a small fleet every router hears
 * the requests in flight of all others in their digests, so the sum is nearly
 * exact; counts of a router whose digests stop arriving expire. In a large
 * fleet the routers pass on what endpoints report about themselves with their
 * responses, the newest report of each endpoint.
 */
import * as expiringSums from './expiringsums.js';

/** How long a router's counts stay valid, in ms; covers a few lost digests. */
export const DEFAULT_COUNTS_VALID_MS = 2_500;

/** How long an endpoint's report stays valid, in ms. */
const REPORT_VALID_MS = 5_000;

/** Requests in flight, by endpoint. */
export type InFlightCounts = ReadonlyMap<string, number>;

/** What an endpoint reported about its load. */
export interface EndpointReport {
  readonly endpoint: string;
  /** Requests that run or wait at the endpoint, of all routers. */
  readonly inFlight: number;
  /** Monotonic time of the response that carried the report, in ms. */
  readonly observedAtMs: number;
}

/** Requests in flight at endpoints, over all routers. */
export interface FleetLoad {
  recordStart(endpoint: string): void;
  recordEnd(endpoint: string): void;
  /** Replaces the counts received from another router. */
  applyRemote(router: string, counts: InFlightCounts, nowMs: number): void;
  /** Records the load that an endpoint told this router with a response. */
  recordReport(endpoint: string, inFlight: number, nowMs: number): void;
  /** Applies a report passed on by another router, unless it is outdated. */
  applyReport(report: EndpointReport, nowMs: number): void;
  /** The most recently observed reports, for the next digest. */
  recentReports(maxReports: number, nowMs: number): readonly EndpointReport[];
  /** Drops the counts of a router that has left the fleet. */
  forget(router: string): void;
  /** Requests in flight at the endpoint, over all routers. */
  inFlight(endpoint: string, nowMs: number): number;
  /**
   * Whether loads are so recent that routers which compare them do not all
   * choose the same endpoint.
   */
  isExact(nowMs: number): boolean;
  /** This router's counts; endpoints with none in flight are left out. */
  localCounts(): InFlightCounts;
}

interface KnownReport {
  readonly report: EndpointReport;
  /** This router's requests in flight when the report was received. */
  readonly localCount: number;
}

/**
 * Sums this router's counts and those received from other routers; without
 * counts of others, uses the endpoints' reports.
 */
export class SummedFleetLoad implements FleetLoad {
  private readonly countByEndpoint = new Map<string, number>();
  private readonly remoteCounts: expiringSums.ExpiringSums;
  private readonly reports = new Map<string, KnownReport>();
  private lastRemoteReportMs = Number.NEGATIVE_INFINITY;

  constructor(validMs = DEFAULT_COUNTS_VALID_MS) {
    this.remoteCounts = new expiringSums.ExpiringSums(validMs);
  }

  recordStart(endpoint: string): void {
    this.countByEndpoint.set(endpoint, this.localCount(endpoint) + 1);
  }

  recordEnd(endpoint: string): void {
    const remaining = this.localCount(endpoint) - 1;
    if (remaining > 0) this.countByEndpoint.set(endpoint, remaining);
    else this.countByEndpoint.delete(endpoint);
  }

  applyRemote(router: string, counts: InFlightCounts, nowMs: number): void {
    this.remoteCounts.replace(router, counts, nowMs);
  }

  recordReport(endpoint: string, inFlight: number, nowMs: number): void {
    this.setReport({endpoint, inFlight, observedAtMs: nowMs});
  }

  applyReport(report: EndpointReport, nowMs: number): void {
    this.lastRemoteReportMs = nowMs;
    const known = this.reports.get(report.endpoint)?.report;
    if (known && known.observedAtMs >= report.observedAtMs) return;
    this.setReport(report);
  }

  recentReports(maxReports: number, nowMs: number): readonly EndpointReport[] {
    const reports: EndpointReport[] = [];
    for (const [endpoint, {report}] of this.reports) {
      if (nowMs - report.observedAtMs <= REPORT_VALID_MS) reports.push(report);
      else this.reports.delete(endpoint);
    }
    reports.sort((a, b) => b.observedAtMs - a.observedAtMs);
    return reports.slice(0, maxReports);
  }

  forget(router: string): void {
    this.remoteCounts.remove(router);
  }

  inFlight(endpoint: string, nowMs: number): number {
    const localCount = this.localCount(endpoint);
    if (this.isExact(nowMs)) {
      return localCount + this.remoteCounts.sum(endpoint, nowMs);
    }
    const known = this.reports.get(endpoint);
    if (!known || nowMs - known.report.observedAtMs > REPORT_VALID_MS) {
      return localCount;
    }
    // The report includes the requests that this router had in flight then.
    const changedCount = localCount - known.localCount;
    return Math.max(localCount, known.report.inFlight + changedCount);
  }

  isExact(nowMs: number): boolean {
    if (this.remoteCounts.sourceCount(nowMs) > 0) return true;
    // Without reports of other routers, this one may be alone.
    return nowMs - this.lastRemoteReportMs > REPORT_VALID_MS;
  }

  localCounts(): InFlightCounts {
    return this.countByEndpoint;
  }

  private localCount(endpoint: string): number {
    return this.countByEndpoint.get(endpoint) ?? 0;
  }

  private setReport(report: EndpointReport): void {
    const localCount = this.localCount(report.endpoint);
    this.reports.set(report.endpoint, {report, localCount});
  }
}

/** Baseline: counts this router's own requests only. */
export class LocalFleetLoad extends SummedFleetLoad {
  override applyRemote(): void {}

  override applyReport(): void {}
}
