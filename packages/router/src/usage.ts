/** Usage by customer, route and pool, and the customers' limits. */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as configuration from './configuration.js';
import type * as exchange from './exchange.js';
import * as meters from './meters.js';
import type * as tasks from './task.js';

/** Most customers of a digest. */
const MAX_USES = 16;

/** Recorder of usage. */
export interface UsageService {
  /** The refusal of a customer that is over its limit. */
  forbid(customer: string): core.Failure | undefined;
  /** Counts a request before it is served, so that a burst meets its limit. */
  accept(task: tasks.Task): void;
  /** Counts the tokens of an answer. */
  record(task: tasks.Task, outcome: exchange.Outcome): void;
  totals(limit: number): readonly decide.Usage[];
  /** Own use of the limited customers in this minute, for the digests. */
  minute(): readonly decide.MinuteUse[];
  /** Takes in another router's use in this minute. */
  learn(router: string, uses: readonly decide.MinuteUse[]): void;
}

/** The contract under which the usage is registered. */
export const USAGE = core.contract<UsageService>('usage', [
  'forbid',
  'accept',
  'record',
  'totals',
]);

/** Usage in a bounded book. */
export class BookedUsage implements UsageService {
  constructor(
    private readonly kernel: core.Kernel,
    private readonly book: decide.UsageBook,
  ) {}

  forbid(customer: string): core.Failure | undefined {
    const tables = this.kernel.find(configuration.CONFIGURATION).tables();
    const row = tables.customers[customer]?.row;
    if (!row) return undefined;
    const limit = {
      requestsPerMinute: row.requests_per_minute,
      tokensPerMinute: row.tokens_per_minute,
    };
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const retryAfterMs = this.book.excessMs(customer, limit, nowMs);
    if (retryAfterMs <= 0) return undefined;
    const detail = `customer ${customer} is over its limit for this minute`;
    return {kind: 'customer_limit', detail, retryAfterMs};
  }

  accept(task: tasks.Task): void {
    this.add(task, 1, 0);
  }

  record(task: tasks.Task, outcome: exchange.Outcome): void {
    if (outcome.type !== 'answered' || outcome.tokens === 0) return;
    this.add(task, 0, outcome.tokens);
  }

  private add(task: tasks.Task, requests: number, tokens: number): void {
    // Only the first router counts, so that a pass-on counts once.
    if (task.request.hops > 0) return;
    const {customer} = task.request;
    const [route, pool] = [task.route.name, task.pool.name];
    const usage = {customer, route, pool, requests, tokens};
    this.book.add(usage, this.kernel.find(core.CLOCK).nowMs());
    this.kernel.find(meters.METERS).used(usage);
  }

  minute(): readonly decide.MinuteUse[] {
    const {customers} = this.kernel.find(configuration.CONFIGURATION).tables();
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const uses = this.book.minute(Object.keys(customers), nowMs);
    return [...uses]
      .sort((left, right) => right.requests - left.requests)
      .slice(0, MAX_USES);
  }

  learn(router: string, uses: readonly decide.MinuteUse[]): void {
    this.book.learn(router, uses, this.kernel.find(core.CLOCK).nowMs());
  }

  totals(limit: number): readonly decide.Usage[] {
    return this.book.totals(limit);
  }
}
