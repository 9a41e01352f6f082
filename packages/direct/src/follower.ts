/**
 * A follower keeps one feed: it reads the newest record of each key, then the
 * records that come after. Lost history starts it anew; an outage is waited out
 * with jittered backoff. One task for each feed.
 */
import * as core from '@oleanderrock/core';
import * as feeds from './feed.js';

/** First wait after a failed read, in ms. */
const FIRST_BACKOFF_MS = 150;

/** Longest wait after a failed read, in ms: the store's return is met soon. */
const MAX_BACKOFF_MS = 1_200;

/**
 * How long the first try at the newest records waits for an answer, in ms, and
 * the longest that a later one does. A store that falls silent at a start is
 * asked again soon; one that is only slow is met by the later tries.
 */
const FIRST_ANSWER_MS = 300;
const MAX_ANSWER_MS = 1_200;

/**
 * Time between two records below which they count as a burst, in ms; in one,
 * only the newest record is read, after a pause in ms. With both, a record is
 * known well within the 2 s in which it has to be in force.
 */
const BURST_GAP_MS = 700;
const BURST_PAUSE_MS = 700;

/** Failed reads in a row after which the feed counts as lost. */
const FAILURES_TO_LOSE = 2;

/** What a follower keeps up to date. */
export interface Keeper<T> {
  /** Takes a record in. */
  item(item: feeds.Item<T>): void;
  /** The newest records of all keys were read; others no longer exist. */
  reconcile(page: feeds.Page<T>): void;
  /** Records up to the offset were taken in. */
  reached(nextOffset: number): void;
  /** The feed was lost, or is back. */
  lost(): void;
  regained(): void;
}

/** Options of a follower. */
export interface FollowerOptions<T> {
  /** For logs, as `tables`. */
  readonly name: string;
  readonly feed: feeds.Feed<T>;
  readonly keeper: Keeper<T>;
  /** How long a read waits at the store for a first record. */
  readonly waitMs: number;
  /** Pause after each read. */
  readonly pauseMs: () => number;
  /** Whether a record makes all before it needless. */
  readonly isWhole?: boolean;
}

/** Follows one feed. */
export class Follower<T> {
  private failures = 0;
  private isLost = false;
  /** Offset after the last record that was read. */
  private nextOffset = -1;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly options: FollowerOptions<T>,
  ) {}

  /** Whether the last reads succeeded. */
  get isCurrent(): boolean {
    return !this.isLost;
  }

  /** The task; it ends when `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let isBurst = false;
    while (!signal.aborted) {
      const before = this.nextOffset;
      const offset = await this.load(signal);
      if (offset === undefined) continue;
      // A burst goes on while each look at the newest record finds another.
      isBurst &&= offset !== before;
      if (!isBurst) isBurst = await this.follow(offset, signal);
      if (isBurst) await this.sleep(BURST_PAUSE_MS, signal);
    }
  }

  private async load(signal: AbortSignal): Promise<number | undefined> {
    const longestMs = FIRST_ANSWER_MS * 2 ** this.failures;
    const answerMs = Math.min(MAX_ANSWER_MS, longestMs);
    const result = await this.options.feed.newest({answerMs, signal});
    if (signal.aborted) return undefined;
    if (!result.ok) {
      await this.failed(result.error, signal);
      return undefined;
    }
    this.succeeded();
    this.options.keeper.reconcile(result.page);
    this.options.keeper.reached(result.page.nextOffset);
    this.nextOffset = result.page.nextOffset;
    return result.page.nextOffset;
  }

  /**
   * Reads on from `offset` until the newest records have to be read; true where
   * a burst of records is the reason.
   */
  private async follow(offset: number, signal: AbortSignal): Promise<boolean> {
    let fromOffset = offset;
    let recordMs = Number.NEGATIVE_INFINITY;
    const {feed, keeper, waitMs, pauseMs, isWhole = false} = this.options;
    while (!signal.aborted) {
      const result = await feed.read({fromOffset, waitMs, signal});
      if (signal.aborted) break;
      if (result.ok) {
        this.succeeded();
        for (const item of result.page.items) keeper.item(item);
        fromOffset = result.page.nextOffset;
        keeper.reached(fromOffset);
        this.nextOffset = fromOffset;
        if (isWhole && result.page.items.length > 0) {
          const gapMs = this.nowMs() - recordMs;
          if (gapMs < BURST_GAP_MS) return true;
          recordMs = this.nowMs();
        }
        await this.sleep(pauseMs(), signal);
      } else if (result.error.type === 'history_lost') {
        this.log.warn('feed_history_lost', {feed: this.options.name});
        return false;
      } else {
        await this.failed(result.error, signal);
      }
    }
    return false;
  }

  private succeeded(): void {
    this.failures = 0;
    if (!this.isLost) return;
    this.isLost = false;
    this.log.info('dependency_regained', {feed: this.options.name});
    this.options.keeper.regained();
  }

  private async failed(
    error: feeds.FeedError,
    signal: AbortSignal,
  ): Promise<void> {
    if (signal.aborted) return;
    this.failures += 1;
    if (this.failures >= FAILURES_TO_LOSE && !this.isLost) {
      this.isLost = true;
      const detail = error.type === 'unavailable' ? error.detail : error.type;
      this.log.warn('dependency_lost', {feed: this.options.name, detail});
      this.options.keeper.lost();
    }
    const longestMs = FIRST_BACKOFF_MS * 2 ** Math.min(this.failures - 1, 5);
    const boundMs = Math.min(longestMs, MAX_BACKOFF_MS);
    const jitter = 0.5 + this.kernel.find(core.RANDOM).next() / 2;
    await this.sleep(boundMs * jitter, signal);
  }

  private async sleep(delayMs: number, signal: AbortSignal): Promise<void> {
    if (delayMs <= 0) return;
    await this.kernel.find(core.CLOCK).sleep(delayMs, signal);
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }

  private get log(): core.Logger {
    return this.kernel.find(core.LOGGER);
  }
}
