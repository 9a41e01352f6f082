/**
 * A feed whose long waits are checked: while a read waits at the store for a
 * record, short reads on other connections look for one. A connection that goes
 * silent without being closed looks just like a store without news, so the wait
 * alone cannot tell them apart.
 */
import * as core from '@oleanderrock/core';
import type * as feeds from './feeds.js';

/** When a read that waits is checked. */
export interface CheckOptions {
  /** Time until the next check, in ms. */
  readonly nextCheckMs: () => number;
  /** Whether this router still has to read the feed; if not, the wait ends. */
  readonly isNeeded: () => boolean;
}

/** Reads like the feed that it wraps. */
export class CheckedWaitFeed<T> implements feeds.Feed<T> {
  constructor(
    private readonly kernel: core.Kernel,
    private readonly feed: feeds.Feed<T>,
    private readonly options: CheckOptions,
  ) {}

  readLatest(options: feeds.LatestOptions): Promise<feeds.FeedResult<T>> {
    return this.feed.readLatest(options);
  }

  async readFrom(options: feeds.ReadOptions): Promise<feeds.FeedResult<T>> {
    if (options.waitMs === 0) return this.feed.readFrom(options);
    const controller = new AbortController();
    const signal = AbortSignal.any([options.signal, controller.signal]);
    const readOptions = {...options, signal};
    try {
      return await Promise.race([
        this.feed.readFrom(readOptions),
        this.checkUntilNews(readOptions),
      ]);
    } finally {
      // Closes the connection of the read that has not ended.
      controller.abort();
    }
  }

  /** Reads shortly, again and again, until that shows what the wait did not. */
  private async checkUntilNews(
    options: feeds.ReadOptions,
  ): Promise<feeds.FeedResult<T>> {
    const {signal, fromOffset} = options;
    const clock = this.kernel.find(core.CLOCK);
    for (;;) {
      await clock.sleep(this.options.nextCheckMs(), signal);
      if (!this.options.isNeeded()) return nothing(fromOffset);
      const result = await this.feed.readFrom({...options, waitMs: 0});
      // A failed check says nothing of the wait, which fails by itself.
      const isNews = result.ok
        ? result.page.records.length > 0
        : result.error.type === 'history_lost';
      if (!isNews && !signal.aborted) continue;
      if (!signal.aborted) {
        const log = this.kernel.find(core.LOGGER);
        log.info('feed_wait_overtaken', {from_offset: fromOffset});
      }
      return result;
    }
  }
}

function nothing<T>(nextOffset: number): feeds.FeedResult<T> {
  return {ok: true, page: {records: [], nextOffset}};
}
