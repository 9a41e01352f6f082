/**
 * The registry of endpoints: the newest record of each, by feed offset. Records
 * from other routers carry the same offsets, so an outdated record cannot
 * restore an endpoint that has been removed.
 */
import * as core from '@oleanderrock/core';
import type * as feeds from './feeds.js';
import * as model from './model.js';

/** A record of the endpoints' feed. */
export type EndpointRecord = feeds.FeedRecord<model.Endpoint>;

/**
 * How long a change is included in digests, in ms: long enough for several
 * digests.
 */
const CHANGE_ADVERTISED_MS = 1_500;

/**
 * Bytes of a change in a digest, about: of an endpoint that leaves, which the
 * others know already, and of one that has come.
 */
const LEAVING_BYTES = 20;
const COMING_BYTES = 70;

/** Maximum bytes of the changes in one digest, so that it fits a datagram. */
const MAX_CHANGE_BYTES_PER_DIGEST = 720;

/**
 * Number of removed endpoints whose removal record is kept, so that an outdated
 * record does not restore one.
 */
const MAX_TOMBSTONES = 1_000;

/** Registry of endpoints. */
export interface EndpointRegistry {
  /**
   * Applies a record read from the feed; returns false if the registry
   * holds one at least as new.
   */
  applyFeedRecord(record: EndpointRecord, nowMs: number): boolean;
  /** The endpoints of a pool that are not draining. */
  readyEndpoints(pool: string): readonly model.Endpoint[];
  find(id: string): model.Endpoint | undefined;
  /** Ids of all endpoints that are not removed. */
  ids(): readonly string[];
  /** The feed offset at which to read on; 0 before the first read. */
  nextOffset(): number;
  /** Records that the feed was read up to the offset; never goes back. */
  advanceTo(nextOffset: number): void;
  /** All records, those of removed endpoints included. */
  allRecords(): readonly EndpointRecord[];
  /**
   * Applies a record received from another router; returns false if the
   * registry holds one at least as new.
   */
  applyPeerRecord(record: EndpointRecord, nowMs: number): boolean;
  /** The records of recent changes to include in the next digest. */
  recentChanges(nowMs: number): readonly EndpointRecord[];
  /**
   * Calls `listener` when a feed record makes an endpoint available or
   * unavailable; not during the first read.
   */
  onChange(listener: () => void): void;
  /** The id of the endpoint with the hash; undefined if none has it. */
  findIdByHash(hash: number): string | undefined;
  /**
   * Hash of the endpoints that are not draining; equal at routers that know the
   * same.
   */
  fingerprint(): number;
}

/** The hash that represents an endpoint in digests. */
export function endpointHash(id: string): number {
  return core.hash32(id);
}

/** The contract under which the endpoint registry is registered. */
export const ENDPOINT_REGISTRY = core.contract<EndpointRegistry>(
  'endpoint-registry',
  [
    'applyFeedRecord',
    'readyEndpoints',
    'find',
    'ids',
    'nextOffset',
    'advanceTo',
    'allRecords',
    'applyPeerRecord',
    'recentChanges',
    'onChange',
    'findIdByHash',
    'fingerprint',
  ],
);

interface RecordedChange {
  readonly record: EndpointRecord;
  /** Monotonic time at which the change was recorded, in ms. */
  readonly atMs: number;
}

/** Registry in memory. */
export class InMemoryEndpointRegistry implements EndpointRegistry {
  private readonly recordsByKey = new Map<string, EndpointRecord>();
  private readonly changesByKey = new Map<string, RecordedChange>();
  private readonly tombstoneKeys: string[] = [];
  private readonly idByHash = new Map<number, string>();
  private readonly listeners: Array<() => void> = [];
  private feedOffset = 0;
  private currentFingerprint = 0;

  constructor(private readonly kernel: core.Kernel) {}

  applyFeedRecord(record: EndpointRecord, nowMs: number): boolean {
    // Endpoints found by the first read of the feed are not changes.
    const isAvailabilityChange =
      this.upsert(record, nowMs) && this.feedOffset > 0;
    if (isAvailabilityChange) for (const listener of this.listeners) listener();
    return this.recordsByKey.get(record.key) === record;
  }

  readyEndpoints(pool: string): readonly model.Endpoint[] {
    const endpoints: model.Endpoint[] = [];
    for (const {value} of this.recordsByKey.values()) {
      if (value?.pool === pool && !value.isDraining) endpoints.push(value);
    }
    return endpoints;
  }

  find(id: string): model.Endpoint | undefined {
    return this.recordsByKey.get(id)?.value;
  }

  ids(): readonly string[] {
    const records = [...this.recordsByKey.values()];
    return records.filter(record => record.value).map(record => record.key);
  }

  nextOffset(): number {
    return this.feedOffset;
  }

  advanceTo(nextOffset: number): void {
    this.feedOffset = Math.max(this.feedOffset, nextOffset);
  }

  allRecords(): readonly EndpointRecord[] {
    return [...this.recordsByKey.values()];
  }

  applyPeerRecord(record: EndpointRecord, nowMs: number): boolean {
    this.upsert(record, nowMs);
    return this.recordsByKey.get(record.key) === record;
  }

  recentChanges(nowMs: number): readonly EndpointRecord[] {
    for (const [key, {atMs}] of this.changesByKey) {
      if (atMs + CHANGE_ADVERTISED_MS < nowMs) this.changesByKey.delete(key);
    }
    const batch: Array<readonly [string, RecordedChange]> = [];
    let bytes = 0;
    for (const entry of this.changesByKey) {
      bytes += bytesOf(entry[1].record);
      if (bytes > MAX_CHANGE_BYTES_PER_DIGEST) break;
      batch.push(entry);
    }
    for (const [key, recorded] of batch) {
      // Moves the key to the end, so that the next digest begins with the
      // changes left out of this one.
      this.changesByKey.delete(key);
      this.changesByKey.set(key, recorded);
    }
    return batch.map(([, {record}]) => record);
  }

  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  findIdByHash(hash: number): string | undefined {
    return this.idByHash.get(hash);
  }

  fingerprint(): number {
    return this.currentFingerprint >>> 0;
  }

  /**
   * Stores a newer record; returns whether it made the endpoint available or
   * unavailable.
   */
  private upsert(record: EndpointRecord, nowMs: number): boolean {
    const previous = this.recordsByKey.get(record.key);
    if (previous && previous.offset >= record.offset) return false;
    this.recordsByKey.set(record.key, record);
    this.currentFingerprint ^=
      fingerprintOf(previous?.value) ^ fingerprintOf(record.value);
    if (!previous) this.idByHash.set(endpointHash(record.key), record.key);
    if (record.value === undefined) this.addTombstone(record.key);
    return this.recordChange(previous, record, nowMs);
  }

  private recordChange(
    previous: EndpointRecord | undefined,
    record: EndpointRecord,
    nowMs: number,
  ): boolean {
    const {key, offset, value} = record;
    const was = availabilityOf(previous?.value);
    const is = availabilityOf(value);
    if (was === is && previous?.value?.bornMs === value?.bornMs) return false;
    const isAvailabilityChange = was === 'ready' || is === 'ready';
    if (isAvailabilityChange) this.changesByKey.set(key, {record, atMs: nowMs});
    this.kernel.find(core.LOGGER).info('endpoint', {
      endpoint: key,
      pool: value?.pool ?? previous?.value?.pool,
      was,
      is,
      version: value?.softwareVersion ?? previous?.value?.softwareVersion,
      offset,
    });
    return isAvailabilityChange;
  }

  private addTombstone(key: string): void {
    this.tombstoneKeys.push(key);
    if (this.tombstoneKeys.length <= MAX_TOMBSTONES) return;
    const oldest = this.tombstoneKeys.shift()!;
    if (this.recordsByKey.get(oldest)?.value === undefined) {
      this.recordsByKey.delete(oldest);
      this.idByHash.delete(endpointHash(oldest));
    }
  }
}

function bytesOf({value}: EndpointRecord): number {
  return value && !value.isDraining ? COMING_BYTES : LEAVING_BYTES;
}

/** Only endpoints that get requests count, since the end of others is no news. */
function fingerprintOf(value: model.Endpoint | undefined): number {
  if (!value || value.isDraining) return 0;
  const {id, bornMs = 0} = value;
  return core.hash32(`${id} ${bornMs} ${model.versionOf(value)}`);
}

function availabilityOf(value: model.Endpoint | undefined): string {
  if (!value) return 'gone';
  return value.isDraining ? 'draining' : 'ready';
}
