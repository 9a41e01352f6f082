/**
 * A feed whose long waits are checked: while a read waits at the store for a
 * record, short reads on other connections look for one. A connection that goes
 * silent without being closed looks just like a store without news, so the wait
 * alone cannot tell them apart.
 */
import * as core from '@oleanderrock/core';
import type * as feeds from './feeds.js';

/**
 * Interval between short reads while a read waits, in ms: a new version is then
 * known, and told to the other routers, well within the 2 s in which it has to
 * be in force.
 */
const CHECK_INTERVAL_MS = 1_200;

/** Reads like the feed that it wraps. */
export class CheckedWaitFeed<T> implements feeds.Feed<T> {
  constructor(
    private readonly kernel: core.Kernel,
    private readonly feed: feeds.Feed<T>,
  ) {}

  readLatest(options: feeds.LatestOptions): Promise<feeds.FeedResult<T>> {
    return this.feed.readLatest(options);
  }

  async readFrom(options: feeds.ReadOptions): Promise<feeds.FeedResult<T>> {
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
      await clock.sleep(CHECK_INTERVAL_MS, signal);
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
