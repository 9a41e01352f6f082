/**
 * Usage: requests and tokens by customer, route and pool, and the customers'
 * limits. Cardinality is bounded: the largest customers by name, the rest as
 * one.
 */

/** What one answer cost. */
export interface Usage {
  readonly customer: string;
  readonly route: string;
  readonly pool: string;
  readonly requests: number;
  readonly tokens: number;
}

/** A customer's limit. */
export interface Limit {
  readonly requestsPerMinute?: number;
  readonly tokensPerMinute?: number;
}

/** Use of one customer within the running minute. */
export interface MinuteUse {
  readonly customer: string;
  readonly requests: number;
  readonly tokens: number;
}

/** Book of what customers used. */
export interface UsageBook {
  /** Counts a request when it is accepted, its tokens when it is answered. */
  add(usage: Usage, nowMs: number): void;
  /** Replaces what another router counted in the running minute. */
  learn(router: string, uses: readonly MinuteUse[], nowMs: number): void;
  /**
   * Milliseconds until the customer is below its limit again, counting the
   * other routers' use; 0 where one more request is within it.
   */
  excessMs(customer: string, limit: Limit, nowMs: number): number;
  /** This router's own use in the running minute, of the given customers. */
  minute(customers: readonly string[], nowMs: number): readonly MinuteUse[];
  /** Totals since the start, at most `limit` rows, the largest first. */
  totals(limit: number): readonly Usage[];
}
