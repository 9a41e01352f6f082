/** Usage by customer, route and pool, and the customers' limits. */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as configuration from './configuration.js';
import type * as exchange from './exchange.js';
import * as meters from './meters.js';
import type * as routedRequests from './routedrequest.js';

/** Maximum number of customers whose usage digests carry. */
const MAX_DIGEST_CUSTOMERS = 16;

/** Records usage and enforces the limits of customers. */
export interface UsageService {
  /** The refusal if the customer is over its limit. */
  checkLimit(customer: string): core.Failure | undefined;
  /** Counts a request before it is served, so that the limit covers bursts. */
  countRequest(routedRequest: routedRequests.RoutedRequest): void;
  /** Counts the tokens of an answer. */
  countTokens(
    routedRequest: routedRequests.RoutedRequest,
    outcome: exchange.Outcome,
  ): void;
  /** The totals by customer, route and pool; at most `limit` of them. */
  totals(limit: number): readonly decide.Usage[];
  /** This router's usage of limited customers in this minute, for digests. */
  currentMinute(): readonly decide.MinuteUse[];
  /** Applies another router's usage in this minute. */
  applyPeerUsage(router: string, uses: readonly decide.MinuteUse[]): void;
}

/** The contract under which the usage service is registered. */
export const USAGE = core.contract<UsageService>('usage', [
  'checkLimit',
  'countRequest',
  'countTokens',
  'totals',
]);

/** Usage counted in a usage tracker, with limits from the tables. */
export class LimitedUsage implements UsageService {
  constructor(
    private readonly kernel: core.Kernel,
    private readonly tracker: decide.UsageTracker,
  ) {}

  checkLimit(customer: string): core.Failure | undefined {
    const tables = this.kernel.find(configuration.CONFIGURATION).tables();
    const row = tables.customers[customer]?.row;
    if (!row) return undefined;
    const limit = {
      requestsPerMinute: row.requests_per_minute,
      tokensPerMinute: row.tokens_per_minute,
    };
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const retryAfterMs = this.tracker.retryAfterMs(customer, limit, nowMs);
    if (retryAfterMs <= 0) return undefined;
    const detail = `customer ${customer} is over its limit for this minute`;
    return {kind: 'customer_limit', detail, retryAfterMs};
  }

  countRequest(routedRequest: routedRequests.RoutedRequest): void {
    this.add(routedRequest, 1, 0);
  }

  countTokens(
    routedRequest: routedRequests.RoutedRequest,
    outcome: exchange.Outcome,
  ): void {
    if (outcome.type !== 'answered' || outcome.tokens === 0) return;
    this.add(routedRequest, 0, outcome.tokens);
  }

  private add(
    routedRequest: routedRequests.RoutedRequest,
    requests: number,
    tokens: number,
  ): void {
    // Only the receiving router counts; a forwarded request must count once.
    if (routedRequest.request.hops > 0) return;
    const {customer} = routedRequest.request;
    const [route, pool] = [routedRequest.route.name, routedRequest.pool.name];
    const usage = {customer, route, pool, requests, tokens};
    this.tracker.add(usage, this.kernel.find(core.CLOCK).nowMs());
    this.kernel.find(meters.METERS).countUsage(usage);
  }

  currentMinute(): readonly decide.MinuteUse[] {
    const {customers} = this.kernel.find(configuration.CONFIGURATION).tables();
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const uses = this.tracker.minuteUse(Object.keys(customers), nowMs);
    return [...uses]
      .sort((left, right) => right.requests - left.requests)
      .slice(0, MAX_DIGEST_CUSTOMERS);
  }

  applyPeerUsage(router: string, uses: readonly decide.MinuteUse[]): void {
    this.tracker.applyRemote(
      router,
      uses,
      this.kernel.find(core.CLOCK).nowMs(),
    );
  }

  totals(limit: number): readonly decide.Usage[] {
    return this.tracker.totals(limit);
  }
}
