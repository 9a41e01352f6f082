/**
 * Usage: requests and tokens by customer, route and pool, and the customers'
 * limits. Cardinality is bounded: the largest customers by name, the rest as
 * one.
 */
import * as lru from 'lru-cache';
import * as window from './window.js';

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
  /**
   * Replaces what another router counted of these customers in the running
   * minute; what it told of others before stays, and fades.
   */
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

/** How many customers a book knows by name, if not told. */
export const DEFAULT_MAX_CUSTOMERS = 1_000;

/** Name under which the usage of all other customers is summed up. */
export const OTHER_CUSTOMERS = 'other';

/** Options of the book of usage. */
export interface UsageOptions {
  readonly maxCustomers?: number;
}

type Rows = Map<string, Usage>;

interface Account {
  readonly minute: window.MinuteWindow;
  readonly rows: Rows;
}

interface RemoteUse {
  readonly atMs: number;
  readonly use: MinuteUse;
}

/** After this many slots, all that the window holds now has left it. */
const LAST_STEP = window.WINDOW_SLOTS + 1;

const NOTHING: window.Amount = {requests: 0, tokens: 0};

function sum(left: window.Amount, right: window.Amount): window.Amount {
  return {
    requests: left.requests + right.requests,
    tokens: left.tokens + right.tokens,
  };
}

function addRow(rows: Rows, usage: Usage): void {
  const key = JSON.stringify([usage.route, usage.pool]);
  const {requests, tokens} = sum(rows.get(key) ?? NOTHING, usage);
  rows.set(key, {...usage, requests, tokens});
}

function isWithin(use: window.Amount, limit: Limit): boolean {
  const {requestsPerMinute = Infinity, tokensPerMinute = Infinity} = limit;
  return use.requests < requestsPerMinute && use.tokens < tokensPerMinute;
}

function compare(left: Usage, right: Usage): number {
  return right.tokens - left.tokens || right.requests - left.requests;
}

/**
 * Usage of the customers that were active last; when one more comes than the
 * book holds, the totals of the one that was idle the longest join the others'.
 * A limit holds over a running minute and counts what the other routers told,
 * which is taken to fade evenly over the minute.
 */
export class MinuteUsageBook implements UsageBook {
  private readonly maxCustomers: number;
  private readonly accounts: lru.LRUCache<string, Account>;
  private readonly others: Rows = new Map();
  /** By customer, then by router. */
  private readonly remotes = new Map<string, Map<string, RemoteUse>>();

  constructor({maxCustomers = DEFAULT_MAX_CUSTOMERS}: UsageOptions = {}) {
    this.maxCustomers = maxCustomers;
    this.accounts = new lru.LRUCache<string, Account>({
      max: maxCustomers,
      dispose: account => this.fold(account),
    });
  }

  add(usage: Usage, nowMs: number): void {
    const account = this.accounts.get(usage.customer) ?? this.open(usage);
    account.minute.add(usage, nowMs);
    addRow(account.rows, usage);
  }

  learn(router: string, uses: readonly MinuteUse[], nowMs: number): void {
    for (const use of uses) {
      const known = this.remotes.get(use.customer);
      if (!known && this.remotes.size >= this.maxCustomers) this.sweep(nowMs);
      if (!known && this.remotes.size >= this.maxCustomers) continue;
      const byRouter = known ?? new Map<string, RemoteUse>();
      byRouter.set(router, {atMs: nowMs, use});
      this.remotes.set(use.customer, byRouter);
    }
  }

  excessMs(customer: string, limit: Limit, nowMs: number): number {
    const own = this.accounts.peek(customer)?.minute;
    for (let later = 0; later <= LAST_STEP; later += 1) {
      const ownUse = own?.sum(nowMs, later) ?? NOTHING;
      const use = sum(ownUse, this.remoteUse(customer, nowMs, later));
      if (!isWithin(use, limit)) continue;
      if (later === 0) return 0;
      return window.nextSlotMs(nowMs) + (later - 1) * window.SLOT_MS;
    }
    return window.WINDOW_MS;
  }

  minute(customers: readonly string[], nowMs: number): readonly MinuteUse[] {
    return customers
      .map(customer => {
        const own = this.accounts.peek(customer)?.minute;
        return {customer, ...(own?.sum(nowMs) ?? NOTHING)};
      })
      .filter(({requests, tokens}) => requests > 0 || tokens > 0);
  }

  totals(limit: number): readonly Usage[] {
    const named = [...this.accounts.values()].flatMap(account => [
      ...account.rows.values(),
    ]);
    const rows = [...named, ...this.others.values()];
    return rows.sort(compare).slice(0, limit);
  }

  private open({customer}: Usage): Account {
    const account = {minute: new window.MinuteWindow(), rows: new Map()};
    this.accounts.set(customer, account);
    return account;
  }

  private fold({rows}: Account): void {
    for (const usage of rows.values()) {
      addRow(this.others, {...usage, customer: OTHER_CUSTOMERS});
    }
  }

  /** Drops what other routers told longer ago than a window. */
  private sweep(nowMs: number): void {
    for (const [customer, byRouter] of this.remotes) {
      for (const [router, {atMs}] of byRouter) {
        if (nowMs - atMs >= window.WINDOW_MS) byRouter.delete(router);
      }
      if (byRouter.size === 0) this.remotes.delete(customer);
    }
  }

  private remoteUse(
    customer: string,
    nowMs: number,
    laterSlots: number,
  ): window.Amount {
    let total = NOTHING;
    for (const {atMs, use} of this.remotes.get(customer)?.values() ?? []) {
      const ageMs = nowMs - atMs + laterSlots * window.SLOT_MS;
      const share = Math.max(0, 1 - ageMs / window.WINDOW_MS);
      if (share === 0) continue;
      const requests = Math.ceil(use.requests * share);
      const tokens = Math.ceil(use.tokens * share);
      total = sum(total, {requests, tokens});
    }
    return total;
  }
}
