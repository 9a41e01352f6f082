/**
 * What the followers keep: tables, endpoints and routers. After an outage of
 * the store, entries that are missing may come back; the keeper of endpoints
 * waits for them before it takes them for gone.
 */
import * as core from '@oleanderrock/core';
import * as endpointBook from './endpointbook.js';
import type * as feeds from './feed.js';
import * as fleetBook from './fleetbook.js';
import type * as follower from './follower.js';
import * as connections from './connections.js';
import * as decisions from './decisions.js';
import type * as model from './model.js';
import * as tablesBook from './tablesbook.js';

/**
 * How long after an outage a missing entry may still come back, in ms: entries
 * that lapsed meanwhile return within about two seconds.
 */
const RETURN_MS = 2_200;

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

  item(item: feeds.Item<model.Endpoint>): void {
    if (item.value) this.waiting.delete(item.key);
    else if (this.isSettling()) {
      this.waiting.set(item.key, item);
      return;
    }
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
    for (const item of this.waiting.values()) this.take(item);
    this.waiting.clear();
  }

  lost(): void {
    this.settledMs = Number.POSITIVE_INFINITY;
  }

  regained(): void {
    this.settledMs = this.nowMs() + RETURN_MS;
  }

  private isSettling(): boolean {
    return this.nowMs() < this.settledMs;
  }

  private take(item: feeds.Item<model.Endpoint>): void {
    const {key, value} = item;
    const before = this.book.find(key);
    this.book.take(item, this.nowMs());
    // One that starts again under its id holds nothing of before.
    if (before && value?.bornMs === before.bornMs) return;
    this.kernel.find(decisions.HEALTH).forget(key);
    this.kernel.find(decisions.HOMES).forget(key);
    this.kernel.find(connections.CONNECTIONS).forget(key);
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
