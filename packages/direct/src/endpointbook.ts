/**
 * The book of endpoints: the newest entry of each by the feed's offsets. What
 * other routers tell is ordered by the same offsets, so an old note cannot
 * bring back an endpoint that has left.
 */
import * as core from '@oleanderrock/core';
import type * as feed from './feed.js';
import type * as model from './model.js';

/** A record of the endpoints' feed. */
export type EndpointItem = feed.Item<model.Endpoint>;

/** How long a change is told to other routers, in ms: some digests. */
const TOLD_MS = 1_500;

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
  /** Keys that began to drain or left of late, with their offsets. */
  leavers(nowMs: number): ReadonlyArray<readonly [string, number]>;
  /** Calls `left` when the feed says that an endpoint drains or is gone. */
  onLeave(left: () => void): void;
  /** Another router saw the endpoint drain or leave at the offset. */
  learnLeaver(id: string, offset: number, nowMs: number): void;
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
  'leavers',
  'onLeave',
  'learnLeaver',
  'named',
]);

interface Leave {
  readonly offset: number;
  readonly atMs: number;
}

/** Book in memory. */
export class ListedEndpoints implements EndpointBook {
  private readonly records = new Map<string, EndpointItem>();
  private readonly left = new Map<string, Leave>();
  private readonly removed: string[] = [];
  private readonly byHash = new Map<number, string>();
  private readonly listeners: Array<() => void> = [];
  private next = 0;

  constructor(private readonly kernel: core.Kernel) {}

  take(item: EndpointItem, nowMs: number): boolean {
    const isLeaver = this.put(item, nowMs);
    if (isLeaver) for (const left of this.listeners) left();
    return isLeaver !== undefined;
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

  leavers(nowMs: number): ReadonlyArray<readonly [string, number]> {
    const told: Array<readonly [string, number]> = [];
    for (const [id, {offset, atMs}] of this.left) {
      if (atMs + TOLD_MS < nowMs) this.left.delete(id);
      else told.push([id, offset]);
    }
    return told;
  }

  onLeave(left: () => void): void {
    this.listeners.push(left);
  }

  learnLeaver(id: string, offset: number, nowMs: number): void {
    const known = this.records.get(id);
    if (!known?.value || known.offset >= offset) return;
    // The feed's own record at this offset still counts when it is read.
    const value = {...known.value, isDraining: true};
    this.put({key: id, offset: offset - 0.5, value}, nowMs);
  }

  named(hash: number): string | undefined {
    return this.byHash.get(hash);
  }

  /** Whether the endpoint left by this record; undefined: it is not newer. */
  private put(item: EndpointItem, nowMs: number): boolean | undefined {
    const before = this.records.get(item.key);
    if (before && before.offset >= item.offset) return undefined;
    this.records.set(item.key, item);
    if (!before) this.byHash.set(hashOf(item.key), item.key);
    if (item.value === undefined) this.keepRemoved(item.key);
    return this.note(before, item, nowMs);
  }

  private note(
    before: EndpointItem | undefined,
    {key, offset, value}: EndpointItem,
    nowMs: number,
  ): boolean {
    const was = stateOf(before?.value);
    const is = stateOf(value);
    if (was === is && before?.value?.bornMs === value?.bornMs) return false;
    const isLeaver = was === 'ready' && is !== 'ready';
    if (isLeaver) this.left.set(key, {offset, atMs: nowMs});
    this.kernel.find(core.LOGGER).info('endpoint', {
      endpoint: key,
      pool: value?.pool ?? before?.value?.pool,
      was,
      is,
      offset,
    });
    return isLeaver;
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
