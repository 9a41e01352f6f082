/**
 * The book of endpoints: the newest entry of each by the feed's offsets. What
 * other routers tell is ordered by the same offsets, so old news cannot bring
 * back an endpoint that has left.
 */
import * as core from '@oleanderrock/core';
import type * as feed from './feed.js';
import type * as model from './model.js';

/** A record of the endpoints' feed. */
export type EndpointItem = feed.Item<model.Endpoint>;

/** How long a change is told to other routers, in ms: some digests. */
const TOLD_MS = 1_500;

/** Most changes in one digest, so that it fits a datagram. */
const MAX_TOLD = 12;

/** How many removed keys are remembered, so that no older note revives one. */
const MAX_REMOVED = 1_000;

/** Book of endpoints. */
export interface EndpointBook {
  /** Takes a record in; false where a newer one of the key is known. */
  take(item: EndpointItem, nowMs: number): boolean;
  /** Endpoints of a pool that may get new requests. */
  ready(pool: string): readonly model.Endpoint[];
  find(id: string): model.Endpoint | undefined;
  /** Keys of all entries. */
  ids(): readonly string[];
  /** Offset up to which records are known; 0 where none is. */
  nextOffset(): number;
  /** Notes that the feed was read up to the offset. */
  reached(nextOffset: number): void;
  /** All records, removed ones included, for a router that lacks them. */
  items(): readonly EndpointItem[];
  /** Takes a record in that another router told; false where it is not newer. */
  learn(item: EndpointItem, nowMs: number): boolean;
  /** Records of endpoints that came or left of late. */
  recentChanges(nowMs: number): readonly EndpointItem[];
  /** Calls `changed` when the feed says that an endpoint came or left. */
  onChange(changed: () => void): void;
  /** The endpoint with the hash; undefined where none is known. */
  named(hash: number): string | undefined;
}

/** What stands for an endpoint in digests. */
export function hashOf(id: string): number {
  return core.hash32(id);
}

/** The contract under which the book is registered. */
export const ENDPOINT_BOOK = core.contract<EndpointBook>('endpoint-book', [
  'take',
  'ready',
  'find',
  'ids',
  'nextOffset',
  'reached',
  'items',
  'learn',
  'recentChanges',
  'onChange',
  'named',
]);

interface Change {
  readonly item: EndpointItem;
  readonly atMs: number;
}

/** Book in memory. */
export class ListedEndpoints implements EndpointBook {
  private readonly records = new Map<string, EndpointItem>();
  private readonly changes = new Map<string, Change>();
  private readonly removed: string[] = [];
  private readonly byHash = new Map<number, string>();
  private readonly listeners: Array<() => void> = [];
  private next = 0;

  constructor(private readonly kernel: core.Kernel) {}

  take(item: EndpointItem, nowMs: number): boolean {
    // What is there at the start is no news.
    const isNews = this.put(item, nowMs) && this.next > 0;
    if (isNews) for (const changed of this.listeners) changed();
    return this.records.get(item.key) === item;
  }

  ready(pool: string): readonly model.Endpoint[] {
    const found: model.Endpoint[] = [];
    for (const {value} of this.records.values()) {
      if (value?.pool === pool && !value.isDraining) found.push(value);
    }
    return found;
  }

  find(id: string): model.Endpoint | undefined {
    return this.records.get(id)?.value;
  }

  ids(): readonly string[] {
    const items = [...this.records.values()];
    return items.filter(item => item.value).map(item => item.key);
  }

  nextOffset(): number {
    return this.next;
  }

  reached(nextOffset: number): void {
    this.next = Math.max(this.next, nextOffset);
  }

  items(): readonly EndpointItem[] {
    return [...this.records.values()];
  }

  learn(item: EndpointItem, nowMs: number): boolean {
    this.put(item, nowMs);
    return this.records.get(item.key) === item;
  }

  recentChanges(nowMs: number): readonly EndpointItem[] {
    for (const [key, {atMs}] of this.changes) {
      if (atMs + TOLD_MS < nowMs) this.changes.delete(key);
    }
    const told = [...this.changes].slice(0, MAX_TOLD);
    for (const [key, change] of told) {
      // The next digest begins with those that this one leaves out.
      this.changes.delete(key);
      this.changes.set(key, change);
    }
    return told.map(([, {item}]) => item);
  }

  onChange(changed: () => void): void {
    this.listeners.push(changed);
  }

  named(hash: number): string | undefined {
    return this.byHash.get(hash);
  }

  /** Whether the endpoint came or left by this record. */
  private put(item: EndpointItem, nowMs: number): boolean {
    const before = this.records.get(item.key);
    if (before && before.offset >= item.offset) return false;
    this.records.set(item.key, item);
    if (!before) this.byHash.set(hashOf(item.key), item.key);
    if (item.value === undefined) this.keepRemoved(item.key);
    return this.note(before, item, nowMs);
  }

  private note(
    before: EndpointItem | undefined,
    item: EndpointItem,
    nowMs: number,
  ): boolean {
    const {key, offset, value} = item;
    const was = stateOf(before?.value);
    const is = stateOf(value);
    if (was === is && before?.value?.bornMs === value?.bornMs) return false;
    const isNews = was === 'ready' || is === 'ready';
    if (isNews) this.changes.set(key, {item, atMs: nowMs});
    this.kernel.find(core.LOGGER).info('endpoint', {
      endpoint: key,
      pool: value?.pool ?? before?.value?.pool,
      was,
      is,
      offset,
    });
    return isNews;
  }

  private keepRemoved(key: string): void {
    this.removed.push(key);
    if (this.removed.length <= MAX_REMOVED) return;
    const oldest = this.removed.shift()!;
    if (this.records.get(oldest)?.value === undefined) {
      this.records.delete(oldest);
      this.byHash.delete(hashOf(oldest));
    }
  }
}

function stateOf(value: model.Endpoint | undefined): string {
  if (!value) return 'gone';
  return value.isDraining ? 'draining' : 'ready';
}
