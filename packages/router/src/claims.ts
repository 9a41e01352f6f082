/**
 * Claims on the platform's log: one task for each stream that this router
 * appends to. Entries that come in while an append is under way go out
 * together with the next one, so the number of appends a second is bounded by
 * the streams and not by the calls.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as v from 'valibot';
import * as platform from './platform.js';
import type * as settings from './settings.js';

const RETRY_MS = 50;
/** How long entries that wait at a stop may take. */
const FLUSH_MS = 2_000;
/** Clock difference that a search by time allows for. */
const SEEK_MARGIN_MS = 60_000;
const FOREVER = Number.POSITIVE_INFINITY;

/** A claim that was won. */
export interface Claim {
  readonly key: string;
  readonly attempt: string;
  /** Monotonic time at which the claim was appended or later read back. */
  readonly grantedMs: number;
}

/** Claims of keys. */
export interface Claims {
  /** Whether the key's own time allows a claim. */
  check(key: string): core.Result<void>;
  /** Claims the key; fails with what is known of the attempt that holds it. */
  claim(key: string): Promise<core.Result<Claim>>;
  /** Gives a claim back whose call was never dispatched. */
  release(claim: Claim): Promise<void>;
  /** Records that the call was answered. */
  answered(claim: Claim): void;
  /** Whether a claim is young enough to dispatch its call. */
  isValid(claim: Claim): boolean;
  /** The stream that carries a key's claims. */
  stream(key: string): string;
}

/** The contract under which the claims are registered. */
export const CLAIMS = core.contract<Claims>('claims', [
  'check',
  'claim',
  'release',
  'answered',
]);

/** Claims whose streams are followed while they are in use. */
export class LogClaims implements Claims, core.Lifecycle {
  private readonly tasks: core.TaskGroup;
  private readonly streams = new Map<string, Stream>();

  constructor(
    private readonly kernel: core.Kernel,
    private readonly own: settings.Settings,
  ) {
    this.tasks = new core.TaskGroup(kernel.find(core.LOGGER));
  }

  /** Lets what waits go out, for a while, then ends the tasks. */
  async stop(): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    const deadlineMs = clock.nowMs() + FLUSH_MS;
    for (const stream of this.streams.values()) stream.close();
    while (this.tasks.size > 0 && clock.nowMs() < deadlineMs) {
      await clock.sleep(RETRY_MS);
    }
    await this.tasks.stop();
  }

  check(key: string): core.Result<void> {
    const wallMs = this.kernel.find(core.CLOCK).wallMs();
    const verdict = this.of(key).book.check(key, wallMs);
    if (verdict === 'fresh') return core.succeed(undefined);
    const windowMs = this.own.keyWindowMs;
    return core.fail(`key_${verdict}`, `keys are taken for ${windowMs} ms`);
  }

  claim(key: string): Promise<core.Result<Claim>> {
    return this.of(key).claim(key);
  }

  async release(claim: Claim): Promise<void> {
    const {key, attempt} = claim;
    await this.of(key).record({type: 'release', key, attempt});
  }

  answered(claim: Claim): void {
    const {key, attempt} = claim;
    void this.of(key).record({type: 'answered', key, attempt});
  }

  isValid(claim: Claim): boolean {
    const ageMs = this.kernel.find(core.CLOCK).nowMs() - claim.grantedMs;
    return ageMs <= this.own.claimValidityMs;
  }

  stream(key: string): string {
    return core.claimStream(core.hash32(key) % this.own.claimStreams);
  }

  private of(key: string): Stream {
    const name = this.stream(key);
    let stream = this.streams.get(name);
    if (!stream) {
      const made = new Stream(this.kernel, this.own, name);
      this.streams.set(name, made);
      this.tasks.spawn(name, signal => made.run(signal));
      stream = made;
    }
    return stream;
  }
}

interface Pending {
  readonly entry: core.ClaimEntry;
  /** Monotonic time after which the entry is not appended any more. */
  readonly deadlineMs: number;
  resolve(result: core.Result<number>): void;
}

/** One claim stream, with the task that appends to it. */
class Stream {
  readonly book: decide.ClaimBook;
  private readonly pending = new core.Mailbox<Pending>();
  private readonly clock: core.Clock;
  private readonly log: platform.LogClient;
  private isPositioned = false;
  /** Attempts that were given up; a claim of theirs found later is released. */
  private readonly abandoned = new Map<string, string>();

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

  async claim(key: string): Promise<core.Result<Claim>> {
    const attempt = core.createId();
    const deadlineMs = this.clock.nowMs() + this.own.claimTimeoutMs;
    const result = await this.put({type: 'claim', key, attempt}, deadlineMs);
    if (!result.ok) {
      this.abandoned.set(attempt, key);
      return result;
    }
    const state = this.book.state(key);
    const grantedMs = this.clock.nowMs();
    if (state.type === 'running' && state.attempt === attempt) {
      return core.succeed({key, attempt, grantedMs});
    }
    return core.fail(
      state.type === 'answered' ? 'duplicate_answered' : 'duplicate_running',
      `another call with this key came first on ${this.name}`,
    );
  }

  /** Appends an entry however long the log is away. */
  async record(entry: core.ClaimEntry): Promise<void> {
    await this.put(entry, FOREVER);
  }

  /** The stream's task: takes what waits, appends it, takes it in. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const first = await this.pending.take();
      if (!first) return;
      const batch = [first, ...this.pending.drain()];
      await this.carry(this.prune(batch), signal);
      this.book.expire(this.clock.wallMs());
      await this.clock.sleep(this.own.claimLingerMs, signal);
    }
  }

  private put(
    entry: core.ClaimEntry,
    deadlineMs: number,
  ): Promise<core.Result<number>> {
    return new Promise(resolve => {
      const isTaken = this.pending.put({entry, deadlineMs, resolve});
      if (!isTaken) resolve(core.fail('draining', `${this.name} is closed`));
    });
  }

  /** Fails the entries whose time is up and returns the others. */
  private prune(batch: readonly Pending[]): Pending[] {
    const nowMs = this.clock.nowMs();
    return batch.filter(item => {
      if (item.deadlineMs > nowMs) return true;
      item.resolve(core.fail('log_unavailable', `${this.name}: no answer`));
      return false;
    });
  }

  /** Appends a batch, and again until it stands on the log or times out. */
  private async carry(batch: Pending[], signal: AbortSignal): Promise<void> {
    let left = batch;
    while (left.length > 0 && !signal.aborted) {
      const offset = await this.appendOnce(left.map(item => item.entry));
      if (offset !== undefined) {
        for (const item of left) item.resolve(core.succeed(offset));
        return;
      }
      await this.clock.sleep(RETRY_MS, signal);
      left = this.prune(left);
    }
    for (const item of left) {
      item.resolve(core.fail('draining', `${this.name} is closing`));
    }
  }

  /**
   * Appends and takes in all records up to the appended one. A second append
   * of the same entries after a lost reply is harmless: an attempt counts once.
   */
  private async appendOnce(
    entries: core.ClaimEntry[],
  ): Promise<number | undefined> {
    if (!(await this.position())) return undefined;
    const record: core.ClaimBatch = {type: 'claims', entries};
    const appended = await this.log.append(this.name, record);
    if (!appended.ok) return undefined;
    const offset = appended.value;
    // Offsets have no holes: nothing stands between the book and this record.
    if (offset === this.book.nextOffset) this.take(offset, record);
    while (this.book.nextOffset <= offset) {
      if (!(await this.readOnce())) return undefined;
    }
    return offset;
  }

  private async readOnce(): Promise<boolean> {
    const page = await this.log.read({
      stream: this.name,
      from: this.book.nextOffset,
      waitMs: 0,
    });
    if (!page.ok) return false;
    for (const {offset, record} of page.value.records) {
      const parsed = v.safeParse(core.claimBatchSchema, record);
      const empty: core.ClaimBatch = {type: 'claims', entries: []};
      this.take(offset, parsed.success ? parsed.output : empty);
    }
    return page.value.records.length > 0;
  }

  private take(offset: number, batch: core.ClaimBatch): void {
    this.book.apply(offset, batch, this.clock.wallMs());
    for (const entry of batch.entries) {
      if (entry.type !== 'claim') continue;
      const {key, attempt} = entry;
      if (!this.abandoned.delete(attempt)) continue;
      void this.record({type: 'release', key, attempt});
    }
  }

  /** Before the first append: finds where the window of live keys begins. */
  private async position(): Promise<boolean> {
    if (this.isPositioned) return true;
    const sinceMs = this.clock.wallMs() - this.own.keyWindowMs - SEEK_MARGIN_MS;
    const start = await this.seek(sinceMs);
    if (start === undefined) return false;
    const empty: core.ClaimBatch = {type: 'claims', entries: []};
    if (start > 0) this.book.apply(start - 1, empty, this.clock.wallMs());
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
    return low;
  }

  private async peek(from: number): Promise<platform.LogPage | undefined> {
    const read = {stream: this.name, from, waitMs: 0, limit: 1};
    const page = await this.log.read(read);
    return page.ok ? page.value : undefined;
  }
}
