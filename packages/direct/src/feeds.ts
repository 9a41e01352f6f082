/**
 * Feeds: ordered streams of the platform's records, in which the newest record
 * of a key replaces the earlier ones. The platform's adapter reads them; the
 * followers decide when to read and how to handle failures.
 */
import * as core from '@oleanderrock/core';
import type * as model from './model.js';

/** One record of a feed. */
export interface FeedRecord<T> {
  readonly key: string;
  readonly offset: number;
  /** Undefined if the key was deleted or its record is invalid. */
  readonly value: T | undefined;
}

/** Records that were read, and the offset at which to read on. */
export interface FeedPage<T> {
  readonly records: ReadonlyArray<FeedRecord<T>>;
  readonly nextOffset: number;
}

/** Why a read failed. */
export type FeedError =
  /**
   * The requested records no longer exist; the newest record of each key has to
   * be read again.
   */
  | {readonly type: 'history_lost'}
  | {readonly type: 'unavailable'; readonly detail: string};

/** The result of a read. */
export type FeedResult<T> =
  | {readonly ok: true; readonly page: FeedPage<T>}
  | {readonly ok: false; readonly error: FeedError};

/** Options of reading from an offset. */
export interface ReadOptions {
  readonly fromOffset: number;
  /**
   * How long the read waits at the store for a first record, in ms; 0: not at
   * all.
   */
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

/** Options of reading the newest records. */
export interface LatestOptions {
  /** Time-out of each response, in ms. */
  readonly responseTimeoutMs: number;
  readonly signal: AbortSignal;
}

/** A feed of one kind of record. */
export interface Feed<T> {
  /**
   * Reads the newest record of each key. Several pages may be joined, so the
   * result is not a consistent snapshot.
   */
  readLatest(options: LatestOptions): Promise<FeedResult<T>>;
  readFrom(options: ReadOptions): Promise<FeedResult<T>>;
}

/** The platform's feeds, and the publication of this router's own record. */
export interface Feeds {
  /** Newest tables, and the failure domains to evacuate. */
  readonly operator: Feed<model.OperatorRecord>;
  readonly endpoints: Feed<model.Endpoint>;
  readonly routers: Feed<model.Router>;
  /** Versions that the pools' endpoints have had, as routers recorded them. */
  readonly versions: Feed<model.PoolVersions>;
  /**
   * Publishes this router's record; resolves with false if success is not
   * confirmed.
   */
  announce(router: model.Router, signal: AbortSignal): Promise<boolean>;
  /** Deletes this router's record; resolves like `announce`. */
  withdraw(router: model.Router, signal: AbortSignal): Promise<boolean>;
  /** Writes the record of a pool's versions; resolves like `announce`. */
  recordVersions(
    versions: model.PoolVersions,
    signal: AbortSignal,
  ): Promise<boolean>;
}

/** The contract under which the feeds are registered. */
export const FEEDS = core.contract<Feeds>('feeds', [
  'announce',
  'withdraw',
  'recordVersions',
]);
