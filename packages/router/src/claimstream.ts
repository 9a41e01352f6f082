/**
 * One claim stream: the task that appends to it and the book of what stands on
 * it. Entries that come in while an append is under way go out together with
 * the next one, so the number of appends a second is bounded by the streams and
 * not by the calls.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as v from 'valibot';
import type * as claims from './claims.js';
import * as platform from './platform.js';
import type * as settings from './settings.js';

const RETRY_MS = 50;
/** Clock difference that a search by time allows for. */
const SEEK_MARGIN_MS = 60_000;
const FOREVER = Number.POSITIVE_INFINITY;
/** Most entries of one record. */
const MAX_BATCH = 500;
const EMPTY: core.ClaimBatch = {type: 'claims', entries: []};

interface Pending {
  /** Absent: a mark that only keeps the stream from being empty. */
  readonly entry?: core.ClaimEntry;
  /** Monotonic time after which the entry is not appended any more. */
  readonly deadlineMs: number;
  /** Whether the entry may stand on the log. */
  isSent: boolean;
  resolve(result: core.Result<void>): void;
}

/** One claim stream, with the task that appends to it. */
export class ClaimStream {
  readonly book: decide.ClaimBook;
  private readonly pending = new core.Mailbox<Pending>();
  private readonly clock: core.Clock;
  private readonly log: platform.LogClient;
  private isPositioned = false;
  private appendedMs = Number.NEGATIVE_INFINITY;
  private markedMs = Number.NEGATIVE_INFINITY;

  constructor(
    kernel: core.Kernel,
    private readonly own: settings.Settings,
    private readonly name: string,
  ) {
    this.clock = kernel.find(core.CLOCK);
    this.log = kernel.find(platform.LOG_CLIENT);
    this.book = new decide.StreamClaimBook({windowMs: own.keyWindowMs});
  }

  close(): void {
    this.pending.close();
  }

  async claim(key: string): Promise<core.Result<claims.Claim>> {
    const attempt = core.createId();
    const beganMs = this.clock.nowMs();
    const deadlineMs = beganMs + this.own.claimTimeoutMs;
    const put = await this.put({type: 'claim', key, attempt}, deadlineMs);
    if (!put.ok) return put;
    const state = this.book.state(key);
    if (state.type === 'running' && state.attempt === attempt) {
      const untilMs = beganMs + this.own.claimValidityMs;
      return core.succeed({key, attempt, untilMs});
    }
    if (state.type !== 'unclaimed') return this.lost(state.type);
    void this.record({type: 'release', key, attempt});
    return core.fail('key_expired', `${this.name} has lost earlier claims`);
  }

  /** Appends an entry however long the log is away. */
  async record(entry: core.ClaimEntry): Promise<void> {
    await this.put(entry, FOREVER);
  }

  /** Appends a mark where nothing was appended for `periodMs`. */
  mark(periodMs: number): void {
    const nowMs = this.clock.nowMs();
    if (nowMs - Math.max(this.appendedMs, this.markedMs) < periodMs) return;
    this.markedMs = nowMs;
    void this.put(undefined, nowMs + periodMs);
  }

  /** The stream's task: takes what waits, appends it, takes it in. */
  async run(signal: AbortSignal): Promise<void> {
    let waiting: Pending[] = [];
    while (!signal.aborted) {
      if (waiting.length === 0) {
        const first = await this.pending.take();
        if (!first) return;
        waiting = [first];
      }
      const isReady = await this.position();
      waiting = this.prune([...waiting, ...this.pending.drain()]);
      if (waiting.length === 0) continue;
      const batch = waiting.slice(0, MAX_BATCH);
      const isDone = isReady && (await this.append(batch));
      if (isDone) waiting = waiting.slice(batch.length);
      this.book.expire(this.clock.wallMs());
      const pauseMs = isDone ? this.own.claimLingerMs : RETRY_MS;
      await this.clock.sleep(pauseMs, signal);
    }
    for (const item of waiting) {
      item.resolve(core.fail('draining', `${this.name} is closing`));
    }
  }

  private lost(type: 'running' | 'answered') {
    return core.fail(
      type === 'answered' ? 'duplicate_answered' : 'duplicate_running',
      `another call with this key came first on ${this.name}`,
    );
  }

  private async put(
    entry: core.ClaimEntry | undefined,
    deadlineMs: number,
  ): Promise<core.Result<void>> {
    let settle: (result: core.Result<void>) => void = () => undefined;
    const settled = new Promise<core.Result<void>>(done => (settle = done));
    const item = {entry, deadlineMs, isSent: false, resolve: settle};
    if (!this.pending.put(item)) {
      return core.fail('draining', `${this.name} is closed`);
    }
    const result = await settled;
    // A claim that was given up may stand on the log, now or later; its
    // release ends the attempt on either side of it.
    if (!result.ok && item.isSent && entry?.type === 'claim') {
      void this.record({...entry, type: 'release'});
    }
    return result;
  }

  /** Fails the entries that may not be appended and returns the others. */
  private prune(batch: readonly Pending[]): Pending[] {
    const nowMs = this.clock.nowMs();
    return batch.filter(item => {
      const failure = this.forbid(item, nowMs);
      if (failure) item.resolve(failure);
      return failure === undefined;
    });
  }

  private forbid({entry, deadlineMs}: Pending, nowMs: number) {
    if (deadlineMs <= nowMs) {
      return core.fail('log_unavailable', `${this.name}: no answer`);
    }
    if (entry?.type !== 'claim') return undefined;
    const verdict = this.book.check(entry.key, this.clock.wallMs());
    if (verdict === 'fresh') return undefined;
    return core.fail(`key_${verdict}`, `${this.name} cannot tell of this key`);
  }

  /** Appends a batch and tells those who wait for it. */
  private async append(batch: readonly Pending[]): Promise<boolean> {
    const entries = batch.map(item => item.entry);
    for (const item of batch) item.isSent = true;
    const isRead = await this.appendOnce(
      entries.filter(entry => entry !== undefined),
    );
    if (!isRead) return false;
    this.appendedMs = this.clock.nowMs();
    for (const item of batch) item.resolve(core.succeed(undefined));
    return true;
  }

  /**
   * Appends and takes in all records up to the appended one. A second append
   * of the same entries after a lost reply is harmless: an attempt counts once.
   */
  private async appendOnce(entries: core.ClaimEntry[]): Promise<boolean> {
    const record: core.ClaimBatch = {type: 'claims', entries};
    const appended = await this.log.append(this.name, record);
    if (!appended.ok) return false;
    const offset = appended.value;
    // Offsets have no holes: nothing stands between the book and this record.
    if (offset === this.book.nextOffset) this.take(offset, record);
    while (this.book.nextOffset <= offset) {
      if (!(await this.readOnce())) return false;
    }
    return true;
  }

  private async readOnce(): Promise<boolean> {
    const page = await this.log.read({
      stream: this.name,
      from: this.book.nextOffset,
      waitMs: 0,
    });
    if (!page.ok) return false;
    const {first, records} = page.value;
    if (first > this.book.nextOffset) this.miss(records[0]);
    for (const {offset, record} of records) {
      const parsed = v.safeParse(core.claimBatchSchema, record);
      this.take(offset, parsed.success ? parsed.output : EMPTY);
    }
    return records.length > 0;
  }

  private take(offset: number, batch: core.ClaimBatch): void {
    this.book.apply(offset, batch, this.clock.wallMs());
  }

  /** Records before the oldest kept one were dropped unread. */
  private miss(oldest: {at_ms: number} | undefined): void {
    this.book.miss(oldest?.at_ms ?? this.clock.wallMs());
  }

  /** Before the first append: finds where the window of live keys begins. */
  private async position(): Promise<boolean> {
    if (this.isPositioned) return true;
    const sinceMs = this.clock.wallMs() - this.own.keyWindowMs - SEEK_MARGIN_MS;
    const start = await this.seek(sinceMs);
    if (start === undefined) return false;
    if (start > 0) this.take(start - 1, EMPTY);
    this.isPositioned = true;
    return true;
  }

  /** Binary search for the first record that is not older than `sinceMs`. */
  private async seek(sinceMs: number): Promise<number | undefined> {
    const bounds = await this.peek(0);
    if (!bounds) return undefined;
    let low = bounds.first;
    let high = bounds.next;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      const page = await this.peek(middle);
      if (!page) return undefined;
      const atMs = page.records[0]?.at_ms ?? FOREVER;
      if (atMs < sinceMs) low = middle + 1;
      else high = middle;
    }
    if (low === bounds.first && low > 0) this.miss(bounds.records[0]);
    return low;
  }

  private async peek(from: number): Promise<platform.LogPage | undefined> {
    const read = {stream: this.name, from, waitMs: 0, limit: 1};
    const page = await this.log.read(read);
    return page.ok ? page.value : undefined;
  }
}
