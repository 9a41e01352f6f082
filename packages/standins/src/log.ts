/**
 * The platform's append-only log: streams of records with offsets. Records are
 * dropped above a maximum age or number; their offsets are not used again.
 */
import * as core from '@oleanderrock/core';
import * as control from './control.js';
import * as conditionVariable from './conditionvariable.js';
import * as platformFaults from './platformfaults.js';

/** A record of a stream with its offset and time of append. */
export interface StreamRecord {
  readonly offset: number;
  readonly at_ms: number;
  readonly record: unknown;
}

/** One page of a stream. */
export interface StreamPage {
  /** Offset of the oldest retained record. */
  readonly first: number;
  /** Offset of the next append. */
  readonly next: number;
  readonly records: StreamRecord[];
}

/** Options for reading a page. */
export interface ReadOptions {
  readonly from: number;
  readonly limit: number;
  /** Maximum time to wait for a record at `from`. */
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

/** One stream of records. */
export class Stream {
  private records: StreamRecord[] = [];
  private nextOffset = 0;

  /** Appends a record and returns its offset. */
  append(record: unknown, atMs: number): number {
    const offset = this.nextOffset;
    this.records.push({offset, at_ms: atMs, record});
    this.nextOffset += 1;
    return offset;
  }

  /** Drops the records below an offset. */
  truncate(before: number): void {
    const end = this.records.findIndex(record => record.offset >= before);
    this.records.splice(0, end < 0 ? this.records.length : end);
  }

  /** Drops records older than `oldestMs`, and the oldest above `maxRecords`. */
  expire(oldestMs: number, maxRecords: number): void {
    const end = this.records.findIndex(record => record.at_ms >= oldestMs);
    this.records.splice(0, end < 0 ? this.records.length : end);
    const surplus = this.records.length - maxRecords;
    if (surplus > 0) this.records.splice(0, surplus);
  }

  /** Returns up to `limit` records, starting at the offset `from`. */
  read(from: number, limit: number): StreamPage {
    const first = this.records[0]?.offset ?? this.nextOffset;
    const start = Math.max(0, from - first);
    const records = this.records.slice(start, start + limit);
    return {first, next: this.nextOffset, records};
  }

  /** Offset of the next append. */
  get endOffset(): number {
    return this.nextOffset;
  }
}

/** Named streams that expire records and support long polls. */
export class Log {
  private readonly clock: core.Clock;
  private readonly faults: control.Faults<platformFaults.PlatformFaults>;
  private readonly streamsChanged: conditionVariable.ConditionVariable;
  private readonly streams = new Map<string, Stream>();

  constructor(kernel: core.Kernel) {
    this.clock = kernel.find(core.CLOCK);
    this.faults = kernel.find(platformFaults.PLATFORM_FAULTS);
    this.streamsChanged = new conditionVariable.ConditionVariable(this.clock);
    this.faults.watch(() => this.streamsChanged.notifyAll());
  }

  /** Appends a record and returns its offset. */
  append(name: string, record: unknown): number {
    const offset = this.openStream(name).append(
      record,
      this.clock.wallClockMs(),
    );
    this.streamsChanged.notifyAll();
    return offset;
  }

  /** Reads a page; waits for a record at `from` if there is none yet. */
  async read(name: string, options: ReadOptions): Promise<StreamPage> {
    const deadlineMs = this.clock.nowMs() + options.waitMs;
    for (;;) {
      const page = this.openStream(name).read(options.from, options.limit);
      const remainingMs = deadlineMs - this.clock.nowMs();
      if (page.next > options.from || remainingMs <= 0) return page;
      if (options.signal.aborted || this.isUnavailable()) return page;
      await this.streamsChanged.wait(remainingMs, options.signal);
    }
  }

  /** Drops the records of a stream below an offset. */
  truncate(name: string, before: number): void {
    this.openStream(name).truncate(before);
  }

  /** Drops all records of a stream; later offsets continue after them. */
  truncateAll(name: string): void {
    const stream = this.openStream(name);
    stream.truncate(stream.endOffset);
  }

  private isUnavailable(): boolean {
    return this.faults.current.log_down || this.faults.current.log_silent;
  }

  private openStream(name: string): Stream {
    const stream = this.streams.get(name) ?? new Stream();
    this.streams.set(name, stream);
    const faults = this.faults.current;
    const maxRecords = faults.retention_records ?? Number.POSITIVE_INFINITY;
    stream.expire(this.clock.wallClockMs() - faults.retention_ms, maxRecords);
    return stream;
  }
}

/** Contract of the log. */
export const LOG = core.contract<Log>('log', [
  'append',
  'read',
  'truncate',
  'truncateAll',
]);
