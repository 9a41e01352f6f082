/** In-memory log that test routers share, each over a link that can fail. */
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import * as events from 'node:events';
import type * as platform from '../platform.js';

/** System clock that can run faster or be shifted. */
export class TestClock extends core.SystemClock {
  shiftMs = 0;

  /** @param speed clock milliseconds per real millisecond */
  constructor(private readonly speed = 1) {
    super();
  }

  override nowMs(): number {
    return super.nowMs() * this.speed + this.shiftMs;
  }

  override wallClockMs(): number {
    return super.wallClockMs() + this.shiftMs;
  }

  override sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return super.sleep(delayMs / this.speed, signal);
  }
}

/** Named streams of records. */
export class SharedLog {
  readonly changes = new events.EventEmitter().setMaxListeners(0);
  maxRecords = Number.POSITIVE_INFINITY;
  private readonly streams = new Map<string, standins.Stream>();

  constructor(readonly clock: core.Clock = new TestClock()) {}

  append(name: string, record: unknown): number {
    const copy: unknown = JSON.parse(JSON.stringify(record));
    const offset = this.stream(name).append(copy, this.clock.wallClockMs());
    this.changes.emit('change');
    return offset;
  }

  /** All retained records. */
  records(name: string): unknown[] {
    const {records} = this.stream(name).read(0, Number.POSITIVE_INFINITY);
    return records.map(entry => entry.record);
  }

  /** Drops all records; keeps the next offset. */
  truncate(name: string): void {
    this.stream(name).truncate(this.stream(name).endOffset);
  }

  stream(name: string): standins.Stream {
    const stream = this.streams.get(name) ?? new standins.Stream();
    this.streams.set(name, stream);
    stream.expire(0, this.maxRecords);
    return stream;
  }
}

/** One router's connection to the log. */
export class LogLink implements platform.LogClient {
  /** Number of upcoming appends that take effect but get no reply. */
  repliesToDrop = 0;
  /** Number of upcoming appends that are lost without effect. */
  requestsToDrop = 0;
  /** Delays the reply to an append that has taken effect until it resolves. */
  replyBarrier: Promise<void> | undefined;
  /** Number of reads started. */
  readCount = 0;
  /** Record of the last append, whether or not it was lost. */
  lastSentRecord: unknown;

  constructor(
    private readonly log: SharedLog,
    private isDown = false,
  ) {}

  async append(stream: string, record: unknown): Promise<core.Result<number>> {
    this.lastSentRecord = record;
    await Promise.resolve();
    if (this.isDown || this.requestsToDrop-- > 0) return this.unavailable();
    const offset = this.log.append(stream, record);
    await this.replyBarrier;
    if (this.repliesToDrop-- > 0) return this.unavailable();
    return core.succeed(offset);
  }

  async read(
    options: platform.LogReadOptions,
  ): Promise<core.Result<platform.LogPage>> {
    const {stream, from, waitMs, limit = 500, signal} = options;
    this.readCount++;
    const isAtEnd = () => this.log.stream(stream).endOffset <= from;
    if (!this.isDown && isAtEnd()) await this.waitForChange(waitMs, signal);
    if (this.isDown) return this.unavailable();
    return core.succeed(this.log.stream(stream).read(from, limit));
  }

  /** Takes the link down, or restores it. */
  setDown(isDown: boolean): void {
    this.isDown = isDown;
    this.log.changes.emit('change');
  }

  private async waitForChange(
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<void> {
    const waiter = new AbortController();
    const stopWaiting = () => waiter.abort();
    this.log.changes.once('change', stopWaiting);
    signal?.addEventListener('abort', stopWaiting);
    await this.log.clock.sleep(waitMs, waiter.signal);
    this.log.changes.off('change', stopWaiting);
    signal?.removeEventListener('abort', stopWaiting);
  }

  private unavailable() {
    return core.fail('log_unavailable', 'the link to the log is down');
  }
}
