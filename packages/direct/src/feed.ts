/**
 * Feeds: ordered records of the platform by key, of which the newest of each
 * key counts. The platform's adapter reads them; the followers decide when, and
 * what to do when they fail.
 */
import * as core from '@oleanderrock/core';
import type * as model from './model.js';

/** One record of a feed. */
export interface Item<T> {
  readonly key: string;
  readonly offset: number;
  /** Undefined where the key was dropped, or its record cannot be read. */
  readonly value: T | undefined;
}

/** Records that were read, and where to go on. */
export interface Page<T> {
  readonly items: ReadonlyArray<Item<T>>;
  readonly nextOffset: number;
}

/** Why a read failed. */
export type FeedError =
  /** The records asked for are gone: read the newest of each key again. */
  | {readonly type: 'history_lost'}
  | {readonly type: 'unavailable'; readonly detail: string};

/** A page, or why there is none. */
export type FeedResult<T> =
  | {readonly ok: true; readonly page: Page<T>}
  | {readonly ok: false; readonly error: FeedError};

/** What a read asks for. */
export interface ReadOptions {
  readonly fromOffset: number;
  /** How long the read may wait for a first record; 0: not at all. */
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

/** What a read of the newest records asks for. */
export interface NewestOptions {
  /** How long each answer may take. */
  readonly answerMs: number;
  readonly signal: AbortSignal;
}

/** A feed of one kind of record. */
export interface Feed<T> {
  /** The newest record of each key; pages are joined, and are no snapshot. */
  newest(options: NewestOptions): Promise<FeedResult<T>>;
  read(options: ReadOptions): Promise<FeedResult<T>>;
}

/** The platform's feeds, and the record of this router. */
export interface Feeds {
  readonly tables: Feed<model.Tables>;
  readonly endpoints: Feed<model.Endpoint>;
  readonly routers: Feed<model.Router>;
  /** Lists this router; resolves with false where that is not known to hold. */
  announce(router: model.Router, signal: AbortSignal): Promise<boolean>;
  withdraw(router: model.Router, signal: AbortSignal): Promise<boolean>;
}

/** The contract under which the feeds are registered. */
export const FEEDS = core.contract<Feeds>('feeds', ['announce', 'withdraw']);
