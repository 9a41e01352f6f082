/**
 * Usage: requests and tokens by customer, route and pool, and the customers'
 * rate limits. Cardinality is bounded: recently active customers are kept by
 * name, the others are summed up as one.
 */
import * as lruCache from 'lru-cache';
import * as window from './minutewindow.js';

/** Requests and tokens of a customer on a route and pool. */
export interface Usage {
  readonly customer: string;
  readonly route: string;
  readonly pool: string;
  readonly requests: number;
  readonly tokens: number;
}

/** A customer's rate limit. */
export interface UsageLimit {
  readonly requestsPerMinute?: number;
  readonly tokensPerMinute?: number;
}

/** Requests and tokens of one customer within the last minute. */
export interface MinuteUse {
  readonly customer: string;
  readonly requests: number;
  readonly tokens: number;
}

/** Tracks the usage of customers. */
export interface UsageTracker {
  /** Adds a request when it is accepted, and its tokens when it is answered. */
  add(usage: Usage, nowMs: number): void;
  /**
   * Replaces another router's usage of these customers in the last minute. Its
   * earlier usage of other customers is kept, and decays.
   */
  applyRemote(router: string, uses: readonly MinuteUse[], nowMs: number): void;
  /**
   * Time in ms until the customer is below its limit again, including its usage
   * at other routers; 0 if another request is allowed now.
   */
  retryAfterMs(customer: string, limit: UsageLimit, nowMs: number): number;
  /** The given customers' usage at this router within the last minute. */
  minuteUse(customers: readonly string[], nowMs: number): readonly MinuteUse[];
  /** Totals since the start; at most `limit` rows, the most tokens first. */
  totals(limit: number): readonly Usage[];
}

/** Default number of customers that are kept by name. */
export const DEFAULT_MAX_CUSTOMERS = 1_000;

/** Name under which the usage of the other customers is summed up. */
export const OTHER_CUSTOMERS = 'other';

/** Options of `MinuteUsageTracker`. */
export interface UsageOptions {
  readonly maxCustomers?: number;
}

type Rows = Map<string, Usage>;

/** State of one customer. */
interface Account {
  readonly lastMinute: window.MinuteWindow;
  readonly rows: Rows;
}

/** A customer's usage as received from another router. */
interface RemoteUse {
  /** When it was received. */
  readonly atMs: number;
  readonly use: MinuteUse;
}

/** Number of slots after which all current usage has left the window. */
const MAX_SLOTS_AHEAD = window.WINDOW_SLOTS + 1;

const NO_USAGE: window.UsageAmount = {requests: 0, tokens: 0};

function sum(
  left: window.UsageAmount,
  right: window.UsageAmount,
): window.UsageAmount {
  return {
    requests: left.requests + right.requests,
    tokens: left.tokens + right.tokens,
  };
}

function addRow(rows: Rows, usage: Usage): void {
  const key = JSON.stringify([usage.route, usage.pool]);
  const {requests, tokens} = sum(rows.get(key) ?? NO_USAGE, usage);
  rows.set(key, {...usage, requests, tokens});
}

function isBelow(use: window.UsageAmount, limit: UsageLimit): boolean {
  const {requestsPerMinute = Infinity, tokensPerMinute = Infinity} = limit;
  return use.requests < requestsPerMinute && use.tokens < tokensPerMinute;
}

function compareTotals(left: Usage, right: Usage): number {
  return right.tokens - left.tokens || right.requests - left.requests;
}

/**
 * Keeps the most recently active customers by name. When there is no room for
 * another one, the totals of the customer idle for longest are added to the sum
 * of the other customers. Limits apply to a sliding minute and include usage
 * received from other routers, which is assumed to decay linearly over a minute.
 */
export class MinuteUsageTracker implements UsageTracker {
  private readonly maxCustomers: number;
  private readonly accounts: lruCache.LRUCache<string, Account>;
  private readonly otherCustomers: Rows = new Map();
  /** Usage at other routers, by customer, then by router. */
  private readonly remotes = new Map<string, Map<string, RemoteUse>>();

  constructor({maxCustomers = DEFAULT_MAX_CUSTOMERS}: UsageOptions = {}) {
    this.maxCustomers = maxCustomers;
    this.accounts = new lruCache.LRUCache<string, Account>({
      max: maxCustomers,
      dispose: account => this.addToOthers(account),
    });
  }

  add(usage: Usage, nowMs: number): void {
    const account =
      this.accounts.get(usage.customer) ?? this.createAccount(usage);
    account.lastMinute.add(usage, nowMs);
    addRow(account.rows, usage);
  }

  applyRemote(router: string, uses: readonly MinuteUse[], nowMs: number): void {
    for (const use of uses) {
      const prior = this.remotes.get(use.customer);
      if (!prior && this.remotes.size >= this.maxCustomers) this.evict(nowMs);
      if (!prior && this.remotes.size >= this.maxCustomers) continue;
      const byRouter = prior ?? new Map<string, RemoteUse>();
      byRouter.set(router, {atMs: nowMs, use});
      this.remotes.set(use.customer, byRouter);
    }
  }

  retryAfterMs(customer: string, limit: UsageLimit, nowMs: number): number {
    const localWindow = this.accounts.peek(customer)?.lastMinute;
    for (let slotsAhead = 0; slotsAhead <= MAX_SLOTS_AHEAD; slotsAhead += 1) {
      const localUse = localWindow?.sum(nowMs, slotsAhead) ?? NO_USAGE;
      const use = sum(localUse, this.remoteUse(customer, nowMs, slotsAhead));
      if (!isBelow(use, limit)) continue;
      if (slotsAhead === 0) return 0;
      return window.msUntilNextSlot(nowMs) + (slotsAhead - 1) * window.SLOT_MS;
    }
    return window.WINDOW_MS;
  }

  minuteUse(customers: readonly string[], nowMs: number): readonly MinuteUse[] {
    return customers
      .map(customer => {
        const localWindow = this.accounts.peek(customer)?.lastMinute;
        return {customer, ...(localWindow?.sum(nowMs) ?? NO_USAGE)};
      })
      .filter(({requests, tokens}) => requests > 0 || tokens > 0);
  }

  totals(limit: number): readonly Usage[] {
    const named = [...this.accounts.values()].flatMap(account => [
      ...account.rows.values(),
    ]);
    const rows = [...named, ...this.otherCustomers.values()];
    return rows.sort(compareTotals).slice(0, limit);
  }

  private createAccount({customer}: Usage): Account {
    const account = {lastMinute: new window.MinuteWindow(), rows: new Map()};
    this.accounts.set(customer, account);
    return account;
  }

  private addToOthers({rows}: Account): void {
    for (const usage of rows.values()) {
      addRow(this.otherCustomers, {...usage, customer: OTHER_CUSTOMERS});
    }
  }

  /** Drops usage received from other routers at least one window ago. */
  private evict(nowMs: number): void {
    for (const [customer, byRouter] of this.remotes) {
      for (const [router, {atMs}] of byRouter) {
        if (nowMs - atMs >= window.WINDOW_MS) byRouter.delete(router);
      }
      if (byRouter.size === 0) this.remotes.delete(customer);
    }
  }

  /** Usage at other routers, decayed up to `slotsAhead` slots from now. */
  private remoteUse(
    customer: string,
    nowMs: number,
    slotsAhead: number,
  ): window.UsageAmount {
    let total = NO_USAGE;
    for (const {atMs, use} of this.remotes.get(customer)?.values() ?? []) {
      const ageMs = nowMs - atMs + slotsAhead * window.SLOT_MS;
      const share = Math.max(0, 1 - ageMs / window.WINDOW_MS);
      if (share === 0) continue;
      const requests = Math.ceil(use.requests * share);
      const tokens = Math.ceil(use.tokens * share);
      total = sum(total, {requests, tokens});
    }
    return total;
  }
}
