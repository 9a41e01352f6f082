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
