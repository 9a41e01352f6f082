/** A log in memory that routers share, each over a link that can fail. */
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import * as events from 'node:events';
import type * as platform from '../platform.js';

/** The machine's clock, faster or shifted. */
export class TestClock extends core.SystemClock {
  shiftMs = 0;

  /** @param speed how many clock ms pass in one real ms */
  constructor(private readonly speed = 1) {
    super();
  }

  override nowMs(): number {
    return super.nowMs() * this.speed + this.shiftMs;
  }

  override wallMs(): number {
    return super.wallMs() + this.shiftMs;
  }

  override sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return super.sleep(delayMs / this.speed, signal);
  }
}

/** Streams of records. */
export class SharedLog {
  readonly changes = new events.EventEmitter().setMaxListeners(0);
  maxRecords = Number.POSITIVE_INFINITY;
  private readonly streams = new Map<string, standins.Stream>();

  constructor(readonly clock: core.Clock = new TestClock()) {}

  append(name: string, record: unknown): number {
    const copy: unknown = JSON.parse(JSON.stringify(record));
    const offset = this.open(name).append(copy, this.clock.wallMs());
    this.changes.emit('change');
    return offset;
  }

  /** All records that are kept. */
  records(name: string): unknown[] {
    const {records} = this.open(name).read(0, Number.POSITIVE_INFINITY);
    return records.map(entry => entry.record);
  }

  /** Drops all records; offsets go on. */
  forget(name: string): void {
    this.open(name).truncate(this.open(name).length);
  }

  open(name: string): standins.Stream {
    const stream = this.streams.get(name) ?? new standins.Stream();
    this.streams.set(name, stream);
    stream.expire(0, this.maxRecords);
    return stream;
  }
}

/** One router's way to the log. */
export class LogLink implements platform.LogClient {
  /** How many of the next appends take effect without a reply. */
  lostReplies = 0;
  /** How many of the next appends have no effect. */
  lostRequests = 0;
  /** What the next append waits for once it has taken effect. */
  pause: Promise<void> | undefined;
  /** How many reads were begun. */
  reads = 0;
  /** The newest record that was sent, whether or not it arrived. */
  sent: unknown;

  constructor(
    private readonly log: SharedLog,
    private isCut = false,
  ) {}

  async append(stream: string, record: unknown): Promise<core.Result<number>> {
    this.sent = record;
    await Promise.resolve();
    if (this.isCut || this.lostRequests-- > 0) return this.unavailable();
    const offset = this.log.append(stream, record);
    await this.pause;
    if (this.lostReplies-- > 0) return this.unavailable();
    return core.succeed(offset);
  }

  async read(
    options: platform.LogRead,
  ): Promise<core.Result<platform.LogPage>> {
    const {stream, from, waitMs, limit = 500, signal} = options;
    this.reads++;
    const isWaiting = () => this.log.open(stream).length <= from;
    if (!this.isCut && isWaiting()) await this.change(waitMs, signal);
    if (this.isCut) return this.unavailable();
    return core.succeed(this.log.open(stream).read(from, limit));
  }

  /** Cuts the link, or mends it. */
  cut(isCut: boolean): void {
    this.isCut = isCut;
    this.log.changes.emit('change');
  }

  private async change(waitMs: number, signal?: AbortSignal): Promise<void> {
    const stop = new AbortController();
    const end = () => stop.abort();
    this.log.changes.once('change', end);
    signal?.addEventListener('abort', end);
    await this.log.clock.sleep(waitMs, stop.signal);
    this.log.changes.off('change', end);
    signal?.removeEventListener('abort', end);
  }

  private unavailable() {
    return core.fail('log_unavailable', 'the link is cut');
  }
}
