/**
 * Follows one feed in one task: reads the newest record of each key, then the
 * records that come after. If the feed's history is lost, it starts again with
 * the newest records. During an outage it retries with jittered backoff.
 */
import * as core from '@oleanderrock/core';
import * as feeds from './feeds.js';

/** Backoff after the first failed read, in ms. */
const FIRST_BACKOFF_MS = 150;

/**
 * Longest backoff, in ms; short, so that the store's return is noticed soon.
 */
const MAX_BACKOFF_MS = 1_200;

/**
 * Response time-out of the first read of the newest records, in ms, and the
 * longest one of the later reads. A store that does not respond at the start is
 * retried soon; one that is only slow responds within the later time-outs.
 */
const FIRST_RESPONSE_TIMEOUT_MS = 300;
const MAX_RESPONSE_TIMEOUT_MS = 1_200;

/**
 * While this router waits for its first state: the response time-out and the
 * longest backoff, in ms, so that the store's return is noticed at once. Each
 * PATIENT_INTERVAL-th read waits for longer, since the store may only be slow.
 */
const URGENT_RESPONSE_TIMEOUT_MS = 300;
const URGENT_BACKOFF_MS = 100;
const PATIENT_INTERVAL = 4;

/**
 * Records that follow each other within BURST_GAP_MS count as a burst. During a
 * burst, only the newest record is read, every BURST_PAUSE_MS. With both, a
 * record is received well within the 2 s in which it has to take effect.
 */
const BURST_GAP_MS = 700;
const BURST_PAUSE_MS = 700;

/** Consecutive failed reads after which the feed counts as lost. */
const FAILURES_UNTIL_LOST = 2;

/**
 * How long a feed counts as lost after its last failed read, in ms. A router
 * that stops reading meanwhile may try again after that.
 */
const LOST_MEMORY_MS = 6_000;

/** Receives the records and the state of a feed. */
export interface FeedHandler<T> {
  /** Handles one record. */
  onRecord(record: feeds.FeedRecord<T>): void;
  /**
   * Handles the newest records of all keys; keys that are not among them no
   * longer exist.
   */
  onLatest(page: feeds.FeedPage<T>): void;
  /**
   * Called after all records before the offset were handled.
   * @param readStartMs monotonic time at which their read began, in ms
   */
  onOffset(nextOffset: number, readStartMs: number): void;
  /** Called when the feed is lost. */
  onLost(): void;
  /** Called when a lost feed can be read again. */
  onRecovered(): void;
}

/** Options of a follower. */
export interface FollowerOptions<T> {
  /** Name of the feed in logs, such as `tables`. */
  readonly name: string;
  readonly feed: feeds.Feed<T>;
  readonly handler: FeedHandler<T>;
  /** How long a read waits at the store for a first record, in ms. */
  readonly waitMs: number;
  /** Pause after each read, in ms. */
  readonly pauseMs: () => number;
  /** Whether the newest records of all keys are few, so that reading them ends a burst. */
  readonly hasFewKeys?: boolean;
  /** Whether this router has to read the feed now. */
  readonly isNeeded: () => boolean;
  /** Time until the next check if it does not have to, in ms. */
  readonly idleCheckMs: () => number;
  /** Whether no request can be served until the first read succeeds. */
  readonly isUrgent?: () => boolean;
  /** Whether other routers cannot reach the store now. */
  readonly isLostElsewhere?: () => boolean;
}

/**
 * Why the newest records have to be read again: `burst`: records follow each
 * other closely; `backlog`: they are written faster than they can be read, so
 * the newest one is read at once; `stopped`: for any other reason.
 */
type ReadOnEnd = 'burst' | 'backlog' | 'stopped';

/** Follows one feed. */
export class Follower<T> {
  private failures = 0;
  private isLost = false;
  /** Monotonic time of the last failed read, in ms. */
  private lastFailureMs = Number.NEGATIVE_INFINITY;
  private isReading = false;
  private hasReadSinceRest = false;
  /** Offset after the last record read. */
  private nextOffset = -1;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly options: FollowerOptions<T>,
  ) {}

  /** Whether the feed is being read, and not lost. */
  get isCurrent(): boolean {
    return this.isReading && !this.isLost;
  }

  /** Whether a read has succeeded since this router has to read the feed. */
  get hasRead(): boolean {
    return this.hasReadSinceRest;
  }

  /** Whether the last reads failed, also if this router reads no more. */
  get wasLostRecently(): boolean {
    return this.isLost && this.nowMs() - this.lastFailureMs < LOST_MEMORY_MS;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let isBurst = false;
    while (!signal.aborted) {
      if (!this.options.isNeeded()) {
        await this.idle(signal);
        continue;
      }
      this.isReading = true;
      const previousOffset = this.nextOffset;
      const offset = await this.readLatest(signal);
      if (offset === undefined) continue;
      // A burst lasts while each read of the newest record finds a new one.
      isBurst &&= offset !== previousOffset;
      const end: ReadOnEnd = isBurst
        ? 'burst'
        : await this.readOn(offset, signal);
      isBurst = end !== 'stopped';
      if (end === 'burst') await this.sleep(BURST_PAUSE_MS, signal);
    }
  }

  /** Waits until the feed is needed again. */
  private async idle(signal: AbortSignal): Promise<void> {
    const {isNeeded, idleCheckMs, handler, isLostElsewhere} = this.options;
    const wasReading = this.isReading;
    let wasOutage = this.isLost;
    this.isReading = false;
    this.hasReadSinceRest = false;
    this.failures = 0;
    while (!signal.aborted && !isNeeded()) {
      await this.sleep(idleCheckMs(), signal);
      wasOutage ||= isLostElsewhere?.() ?? false;
    }
    if (wasReading && wasOutage) handler.onRecovered();
  }

  private async readLatest(signal: AbortSignal): Promise<number | undefined> {
    const responseTimeoutMs = this.responseTimeoutMs();
    const startMs = this.nowMs();
    const result = await this.options.feed.readLatest({
      responseTimeoutMs,
      signal,
    });
    if (signal.aborted) return undefined;
    if (!result.ok) {
      await this.handleFailure(result.error, signal);
      return undefined;
    }
    this.handleSuccess();
    this.options.handler.onLatest(result.page);
    this.options.handler.onOffset(result.page.nextOffset, startMs);
    this.nextOffset = result.page.nextOffset;
    return result.page.nextOffset;
  }

  private responseTimeoutMs(): number {
    const isPatient = this.failures % PATIENT_INTERVAL === PATIENT_INTERVAL - 1;
    if (this.isUrgent() && !isPatient) return URGENT_RESPONSE_TIMEOUT_MS;
    const exponentialMs = FIRST_RESPONSE_TIMEOUT_MS * 2 ** this.failures;
    return Math.min(MAX_RESPONSE_TIMEOUT_MS, exponentialMs);
  }

  private isUrgent(): boolean {
    return this.options.isUrgent?.() ?? false;
  }

  /** Reads on from `offset` until the newest records have to be read again. */
  private async readOn(
    offset: number,
    signal: AbortSignal,
  ): Promise<ReadOnEnd> {
    let fromOffset = offset;
    let lastRecordMs = Number.NEGATIVE_INFINITY;
    const {feed, handler, waitMs, pauseMs, hasFewKeys = false} = this.options;
    while (!signal.aborted && this.options.isNeeded()) {
      const startMs = this.nowMs();
      const result = await feed.readFrom({fromOffset, waitMs, signal});
      if (signal.aborted) break;
      if (result.ok) {
        this.handleSuccess();
        for (const record of result.page.records) this.handle(record);
        fromOffset = result.page.nextOffset;
        handler.onOffset(fromOffset, startMs);
        this.nextOffset = fromOffset;
        if (hasFewKeys && result.page.records.length > 0) {
          if (result.page.records.length > 1) return 'backlog';
          const gapMs = this.nowMs() - lastRecordMs;
          if (gapMs < BURST_GAP_MS) return 'burst';
          lastRecordMs = this.nowMs();
        }
        await this.sleep(pauseMs(), signal);
      } else if (result.error.type === 'history_lost') {
        this.log.warn('feed_history_lost', {feed: this.options.name});
        return 'stopped';
      } else {
        await this.handleFailure(result.error, signal);
      }
    }
    return 'stopped';
  }

  /** Handles a record; one that fails does not hold up those after it. */
  private handle(record: feeds.FeedRecord<T>): void {
    try {
      this.options.handler.onRecord(record);
    } catch (error) {
      this.log.error('record_failed', {
        feed: this.options.name,
        key: record.key,
        offset: record.offset,
        reason: core.errorMessage(error),
      });
    }
  }

  private handleSuccess(): void {
    this.failures = 0;
    this.hasReadSinceRest = true;
    if (!this.isLost) return;
    this.isLost = false;
    this.log.info('dependency_regained', {feed: this.options.name});
    this.options.handler.onRecovered();
  }

  private async handleFailure(
    error: feeds.FeedError,
    signal: AbortSignal,
  ): Promise<void> {
    if (signal.aborted) return;
    this.failures += 1;
    this.lastFailureMs = this.nowMs();
    if (this.failures >= FAILURES_UNTIL_LOST && !this.isLost) {
      this.isLost = true;
      const detail = error.type === 'unavailable' ? error.detail : error.type;
      this.log.warn('dependency_lost', {feed: this.options.name, detail});
      this.options.handler.onLost();
    }
    const exponentialMs =
      FIRST_BACKOFF_MS * 2 ** Math.min(this.failures - 1, 5);
    const maxBackoffMs = this.isUrgent() ? URGENT_BACKOFF_MS : MAX_BACKOFF_MS;
    const backoffMs = Math.min(exponentialMs, maxBackoffMs);
    const jitter = 0.5 + this.kernel.find(core.RANDOM).nextFloat() / 2;
    await this.sleep(backoffMs * jitter, signal);
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
