/**
 * The platform's append-only log: streams of records with offsets, kept for a
 * limited time or number. Offsets go on where records were dropped.
 */
import * as core from '@oleanderrock/core';
import * as control from './control.js';
import * as notice from './notice.js';
import * as platformFaults from './platformfaults.js';

/** A record as it stands on a stream. */
export interface Entry {
  readonly offset: number;
  readonly at_ms: number;
  readonly record: unknown;
}

/** One page of a stream. */
export interface Page {
  /** The oldest offset that is kept. */
  readonly first: number;
  /** The offset of the next append. */
  readonly next: number;
  readonly records: Entry[];
}

/** What a reader asks for. */
export interface ReadOptions {
  readonly from: number;
  readonly limit: number;
  /** How long to wait for a record at `from`. */
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

/** One stream of records. */
export class Stream {
  private entries: Entry[] = [];
  private next = 0;

  /** Appends a record and returns its offset. */
  append(record: unknown, atMs: number): number {
    const offset = this.next;
    this.entries.push({offset, at_ms: atMs, record});
    this.next += 1;
    return offset;
  }

  /** Drops the records below an offset. */
  truncate(before: number): void {
    const kept = this.entries.findIndex(entry => entry.offset >= before);
    this.entries.splice(0, kept < 0 ? this.entries.length : kept);
  }

  /** Drops the records older than `oldestMs` and those above `maxRecords`. */
  expire(oldestMs: number, maxRecords: number): void {
    const kept = this.entries.findIndex(entry => entry.at_ms >= oldestMs);
    this.entries.splice(0, kept < 0 ? this.entries.length : kept);
    const surplus = this.entries.length - maxRecords;
    if (surplus > 0) this.entries.splice(0, surplus);
  }

  /** Up to `limit` records from the offset `from` on. */
  read(from: number, limit: number): Page {
    const first = this.entries[0]?.offset ?? this.next;
    const start = Math.max(0, from - first);
    const records = this.entries.slice(start, start + limit);
    return {first, next: this.next, records};
  }

  /** The offset of the next append. */
  get length(): number {
    return this.next;
  }
}

/** The log's streams by name. */
export class Log {
  private readonly clock: core.Clock;
  private readonly faults: control.Faults<platformFaults.PlatformFaults>;
  private readonly changed: notice.Notice;
  private readonly streams = new Map<string, Stream>();

  constructor(kernel: core.Kernel) {
    this.clock = kernel.find(core.CLOCK);
    this.faults = kernel.find(platformFaults.PLATFORM_FAULTS);
    this.changed = new notice.Notice(this.clock);
    this.faults.watch(() => this.changed.announce());
  }

  /** Appends a record and returns its offset. */
  append(name: string, record: unknown): number {
    const offset = this.open(name).append(record, this.clock.wallClockMs());
    this.changed.announce();
    return offset;
  }

  /** Reads a page; waits for a record at `from` where there is none yet. */
  async read(name: string, options: ReadOptions): Promise<Page> {
    const endMs = this.clock.nowMs() + options.waitMs;
    for (;;) {
      const page = this.open(name).read(options.from, options.limit);
      const leftMs = endMs - this.clock.nowMs();
      if (page.next > options.from || leftMs <= 0) return page;
      if (options.signal.aborted || this.isOut()) return page;
      await this.changed.wait(leftMs, options.signal);
    }
  }

  /** Drops the records of a stream below an offset. */
  truncate(name: string, before: number): void {
    this.open(name).truncate(before);
  }

  /** Drops all records of a stream; its offsets go on. */
  forget(name: string): void {
    const stream = this.open(name);
    stream.truncate(stream.length);
  }

  private isOut(): boolean {
    return this.faults.now.log_down || this.faults.now.log_silent;
  }

  private open(name: string): Stream {
    const stream = this.streams.get(name) ?? new Stream();
    this.streams.set(name, stream);
    const faults = this.faults.now;
    const maxRecords = faults.retention_records ?? Number.POSITIVE_INFINITY;
    stream.expire(this.clock.wallClockMs() - faults.retention_ms, maxRecords);
    return stream;
  }
}

/** The contract under which the log is registered. */
export const LOG = core.contract<Log>('log', [
  'append',
  'read',
  'truncate',
  'forget',
]);
