/**
 * One claim stream: the task that appends to it and the registry of the claims
 * read from it. Entries that arrive during an append are batched into the next
 * one, so the append rate is bounded by the number of streams, not of calls.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as v from 'valibot';
import type * as claims from './claims.js';
import * as platform from './platform.js';
import type * as settings from './settings.js';

/** Pause before a failed append is retried. */
const RETRY_MS = 50;
/** Clock skew that a search by time allows for. */
const SEEK_MARGIN_MS = 60_000;
const INFINITE_MS = Number.POSITIVE_INFINITY;
/** Maximum number of entries in one record. */
const MAX_BATCH_ENTRIES = 500;
const EMPTY_BATCH: core.ClaimBatch = {type: 'claims', entries: []};

/** An entry that waits for its append. */
interface PendingEntry {
  /** Absent for a marker, which only keeps the stream from becoming empty. */
  readonly entry?: core.ClaimEntry;
  /** Monotonic time after which the entry is no longer appended. */
  readonly deadlineMs: number;
  /** Whether an append was tried, so that the entry may be on the log. */
  isSent: boolean;
  resolve(result: core.Result<void>): void;
}

/** One claim stream, with the task that appends to it. */
export class ClaimStream {
  readonly registry: decide.ClaimRegistry;
  private readonly pending = new core.Mailbox<PendingEntry>();
  private readonly clock: core.Clock;
  private readonly log: platform.LogClient;
  private hasWindowStart = false;
  private lastAppendMs = Number.NEGATIVE_INFINITY;
  private lastMarkerMs = Number.NEGATIVE_INFINITY;

  constructor(
    kernel: core.Kernel,
    private readonly routerSettings: settings.Settings,
    private readonly name: string,
  ) {
    this.clock = kernel.find(core.CLOCK);
    this.log = kernel.find(platform.LOG_CLIENT);
    this.registry = new decide.StreamClaimRegistry({
      maxAgeMs: routerSettings.keyWindowMs,
    });
  }

  close(): void {
    this.pending.close();
  }

  /** Appends a claim of the key and checks that it came first on the log. */
  async claim(key: string): Promise<core.Result<claims.Claim>> {
    const attempt = core.createId();
    const startedMs = this.clock.nowMs();
    const deadlineMs = startedMs + this.routerSettings.claimTimeoutMs;
    const appended = await this.enqueue(
      {type: 'claim', key, attempt},
      deadlineMs,
    );
    if (!appended.ok) return appended;
    const state = this.registry.state(key);
    if (state.type === 'running' && state.attempt === attempt) {
      const dispatchDeadlineMs =
        startedMs + this.routerSettings.claimValidityMs;
      return core.succeed({key, attempt, dispatchDeadlineMs});
    }
    if (state.type !== 'unclaimed') return this.duplicateFailure(state.type);
    void this.record({type: 'release', key, attempt});
    return core.fail(
      'key_expired',
      `earlier claims on ${this.name} may have been dropped`,
    );
  }

  /** Appends an entry; retries for as long as the log is unavailable. */
  async record(entry: core.ClaimEntry): Promise<void> {
    await this.enqueue(entry, INFINITE_MS);
  }

  /** Appends a marker if nothing was appended for `idleMs`. */
  addMarker(idleMs: number): void {
    const nowMs = this.clock.nowMs();
    if (nowMs - Math.max(this.lastAppendMs, this.lastMarkerMs) < idleMs) return;
    this.lastMarkerMs = nowMs;
    void this.enqueue(undefined, nowMs + idleMs);
  }

  /** Task that appends pending entries in batches and reads them back. */
  async run(signal: AbortSignal): Promise<void> {
    let waiting: PendingEntry[] = [];
    while (!signal.aborted) {
      if (waiting.length === 0) {
        const first = await this.pending.take();
        if (!first) return;
        waiting = [first];
      }
      const isStartKnown = await this.findWindowStart();
      waiting = this.rejectUnappendable([...waiting, ...this.pending.drain()]);
      if (waiting.length === 0) continue;
      const batch = waiting.slice(0, MAX_BATCH_ENTRIES);
      const isAppended = isStartKnown && (await this.appendBatch(batch));
      if (isAppended) waiting = waiting.slice(batch.length);
      this.registry.expire(this.clock.wallClockMs());
      const pauseMs = isAppended ? this.routerSettings.claimLingerMs : RETRY_MS;
      await this.clock.sleep(pauseMs, signal);
    }
    for (const item of waiting) {
      item.resolve(core.fail('draining', `${this.name} is closing`));
    }
  }

  private duplicateFailure(type: 'running' | 'answered') {
    return core.fail(
      type === 'answered' ? 'duplicate_answered' : 'duplicate_running',
      `another call with this key claimed it first on ${this.name}`,
    );
  }

  private async enqueue(
    entry: core.ClaimEntry | undefined,
    deadlineMs: number,
  ): Promise<core.Result<void>> {
    let resolve: (result: core.Result<void>) => void = () => undefined;
    const resultPromise = new Promise<core.Result<void>>(
      settle => (resolve = settle),
    );
    const item = {entry, deadlineMs, isSent: false, resolve};
    if (!this.pending.put(item)) {
      return core.fail('draining', `${this.name} is closed`);
    }
    const result = await resultPromise;
    // The append of an abandoned claim may still take effect, now or later. Its
    // release ends the attempt whichever of the two comes first on the log.
    if (!result.ok && item.isSent && entry?.type === 'claim') {
      void this.record({...entry, type: 'release'});
    }
    return result;
  }

  /** Rejects the entries that must not be appended and returns the others. */
  private rejectUnappendable(batch: readonly PendingEntry[]): PendingEntry[] {
    const nowMs = this.clock.nowMs();
    return batch.filter(item => {
      const failure = this.findRejection(item, nowMs);
      if (failure) item.resolve(failure);
      return failure === undefined;
    });
  }

  private findRejection({entry, deadlineMs}: PendingEntry, nowMs: number) {
    if (deadlineMs <= nowMs) {
      return core.fail(
        'log_unavailable',
        `${this.name}: the log did not answer in time`,
      );
    }
    if (entry?.type !== 'claim') return undefined;
    const verdict = this.registry.check(entry.key, this.clock.wallClockMs());
    if (verdict === 'fresh') return undefined;
    return core.fail(
      `key_${verdict}`,
      `the key is outside the valid window of ${this.name}`,
    );
  }

  /** Appends a batch and resolves its entries; false if it must be retried. */
  private async appendBatch(batch: readonly PendingEntry[]): Promise<boolean> {
    const entries = batch.map(item => item.entry);
    for (const item of batch) item.isSent = true;
    const isRead = await this.appendAndRead(
      entries.filter(entry => entry !== undefined),
    );
    if (!isRead) return false;
    this.lastAppendMs = this.clock.nowMs();
    for (const item of batch) item.resolve(core.succeed(undefined));
    return true;
  }

  /**
   * Appends the entries and applies all records up to the appended one. To
   * append the same entries again after a lost reply is harmless, since an
   * attempt counts once.
   */
  private async appendAndRead(entries: core.ClaimEntry[]): Promise<boolean> {
    const record: core.ClaimBatch = {type: 'claims', entries};
    const appended = await this.log.append(this.name, record);
    if (!appended.ok) return false;
    const offset = appended.value;
    // Offsets are contiguous, so no unread record precedes the next offset.
    if (offset === this.registry.nextOffset) this.applyRecord(offset, record);
    while (this.registry.nextOffset <= offset) {
      if (!(await this.readPage())) return false;
    }
    return true;
  }

  /** Reads and applies the next records; false if there were none. */
  private async readPage(): Promise<boolean> {
    const page = await this.log.read({
      stream: this.name,
      from: this.registry.nextOffset,
      waitMs: 0,
    });
    if (!page.ok) return false;
    const {first, records} = page.value;
    if (first > this.registry.nextOffset) this.markDropped(records[0]);
    for (const {offset, record} of records) {
      const parsed = v.safeParse(core.claimBatchSchema, record);
      this.applyRecord(offset, parsed.success ? parsed.output : EMPTY_BATCH);
    }
    return records.length > 0;
  }

  private applyRecord(offset: number, batch: core.ClaimBatch): void {
    this.registry.apply(offset, batch, this.clock.wallClockMs());
  }

  /** Marks the records before `oldest` as dropped before they were read. */
  private markDropped(oldest: {at_ms: number} | undefined): void {
    this.registry.markLost(oldest?.at_ms ?? this.clock.wallClockMs());
  }

  /**
   * Before the first append, finds the offset at which the window of valid keys
   * begins; false if the log could not be read.
   */
  private async findWindowStart(): Promise<boolean> {
    if (this.hasWindowStart) return true;
    const sinceMs =
      this.clock.wallClockMs() -
      this.routerSettings.keyWindowMs -
      SEEK_MARGIN_MS;
    const start = await this.findFirstSince(sinceMs);
    if (start === undefined) return false;
    if (start > 0) this.applyRecord(start - 1, EMPTY_BATCH);
    this.hasWindowStart = true;
    return true;
  }

  /** Offset of the first record not older than `sinceMs`, by binary search. */
  private async findFirstSince(sinceMs: number): Promise<number | undefined> {
    const oldest = await this.readFrom(0);
    if (!oldest) return undefined;
    let low = oldest.first;
    let high = oldest.next;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      const page = await this.readFrom(middle);
      if (!page) return undefined;
      const atMs = page.records[0]?.at_ms ?? INFINITE_MS;
      if (atMs < sinceMs) low = middle + 1;
      else high = middle;
    }
    if (low === oldest.first && low > 0) this.markDropped(oldest.records[0]);
    return low;
  }

  private async readFrom(from: number): Promise<platform.LogPage | undefined> {
    const options = {stream: this.name, from, waitMs: 0, limit: 1};
    const page = await this.log.read(options);
    return page.ok ? page.value : undefined;
  }
}
