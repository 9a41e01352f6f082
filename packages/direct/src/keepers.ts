/**
 * What the followers keep: tables, endpoints and routers. After an outage of
 * the store, entries that are missing may come back; the keeper of endpoints
 * waits for them before it takes them for gone.
 */
import * as core from '@oleanderrock/core';
import * as endpointBook from './endpointbook.js';
import * as endpointIntake from './endpointintake.js';
import type * as feeds from './feed.js';
import * as fleetBook from './fleetbook.js';
import type * as follower from './follower.js';
import type * as model from './model.js';
import * as tablesBook from './tablesbook.js';

/**
 * How long after an outage a missing entry may still come back, in ms: entries
 * that expired meanwhile return within about two seconds.
 */
const RETURN_MS = 2_200;

/** Part of a pool whose endpoints do not crash or leave at one moment. */
const EXPIRY_SHARE = 0.5;

/** Endpoints that have to vanish at once to count as expired. */
const MIN_EXPIRED = 2;

/** Keeps the tables. */
export class TablesKeeper implements follower.Keeper<model.Tables> {
  constructor(private readonly kernel: core.Kernel) {}

  item({value}: feeds.Item<model.Tables>): void {
    if (value) this.kernel.find(tablesBook.TABLES_BOOK).take(value, 'store');
  }

  reconcile(page: feeds.Page<model.Tables>): void {
    for (const item of page.items) this.item(item);
  }

  reached(): void {}

  lost(): void {}

  regained(): void {}
}

/** Keeps the endpoints. */
export class EndpointsKeeper implements follower.Keeper<model.Endpoint> {
  /** Removals that wait, by key. */
  private readonly waiting = new Map<string, feeds.Item<model.Endpoint>>();
  private settledMs = 0;

  constructor(private readonly kernel: core.Kernel) {}

  /** Time until removals that wait are judged, in ms; absent: none waits. */
  get settlesInMs(): number | undefined {
    if (this.waiting.size === 0) return undefined;
    return Math.max(0, this.settledMs - this.nowMs());
  }

  item(item: feeds.Item<model.Endpoint>): void {
    if (!item.value) {
      this.waiting.set(item.key, item);
      return;
    }
    this.waiting.delete(item.key);
    this.take(item);
  }

  reconcile(page: feeds.Page<model.Endpoint>): void {
    const listed = new Set(page.items.map(item => item.key));
    for (const item of page.items) this.item(item);
    for (const key of this.book.ids()) {
      if (listed.has(key)) continue;
      this.item({key, offset: page.nextOffset - 1, value: undefined});
    }
  }

  reached(nextOffset: number): void {
    this.book.reached(nextOffset);
    if (this.isSettling()) return;
    if (this.settledMs === 0 && this.hasExpired()) {
      this.settledMs = this.nowMs() + RETURN_MS;
      return;
    }
    for (const item of this.waiting.values()) this.take(item);
    this.waiting.clear();
    this.settledMs = 0;
  }

  lost(): void {
    this.settledMs = Number.POSITIVE_INFINITY;
  }

  regained(): void {
    this.settledMs = this.nowMs() + RETURN_MS;
  }

  /**
   * Whether most of a pool vanished at once without a word: the store was away
   * between two reads, and the entries expired.
   */
  private hasExpired(): boolean {
    const vanished = new Map<string, number>();
    for (const key of this.waiting.keys()) {
      const endpoint = this.book.find(key);
      if (!endpoint || endpoint.isDraining) continue;
      vanished.set(endpoint.pool, (vanished.get(endpoint.pool) ?? 0) + 1);
    }
    for (const [pool, count] of vanished) {
      const isMost = count > this.book.ready(pool).length * EXPIRY_SHARE;
      if (count >= MIN_EXPIRED && isMost) {
        const log = this.kernel.find(core.LOGGER);
        log.warn('entries_expired', {pool, count});
        return true;
      }
    }
    return false;
  }

  private isSettling(): boolean {
    return this.nowMs() < this.settledMs;
  }

  private take(item: feeds.Item<model.Endpoint>): void {
    endpointIntake.takeRecord(this.kernel, item, 'feed');
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }

  private get book(): endpointBook.EndpointBook {
    return this.kernel.find(endpointBook.ENDPOINT_BOOK);
  }
}

/** Keeps the routers. */
export class RoutersKeeper implements follower.Keeper<model.Router> {
  constructor(private readonly kernel: core.Kernel) {}

  item({key, value}: feeds.Item<model.Router>): void {
    const book = this.kernel.find(fleetBook.FLEET_BOOK);
    if (value) book.list(value, this.kernel.find(core.CLOCK).nowMs());
    else book.remove(key);
  }

  reconcile(page: feeds.Page<model.Router>): void {
    for (const item of page.items) this.item(item);
  }

  reached(): void {}

  lost(): void {}

  regained(): void {}
}
