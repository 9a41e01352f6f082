/**
 * Configuration: follows the operators' edits on the platform's log. One task
 * reads the stream and replays it; another appends snapshots well before the
 * records expire. Where the log cannot be read, a peer's state helps.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as fleet from './fleet.js';
import * as peerCalls from './peercalls.js';
import * as platform from './platform.js';
import type * as settings from './settings.js';

const READ_WAIT_MS = 2_000;
const RETRY_MS = 200;
const VERDICT_TIMEOUT_MS = 5_000;
const REAPPEND_MS = 1_500;
const POLL_MS = 10;
const SNAPSHOT_CHECK_MS = 1_000;
const SNAPSHOT_TASK = 'config-snapshot';

/** The configuration in force at this router. */
export interface Configuration {
  tables(): core.Tables;
  /** Whether the tables are those of the log's whole prefix. */
  isCurrent(): boolean;
  /** Whether log and peers have both been away for too long. */
  isStale(): boolean;
  /** The next offset to read: all edits below it are in force here. */
  nextOffset(): number;
  snapshot(): core.Snapshot;
  verdicts(): readonly core.Verdict[];
  /** Appends an edit and waits until it is read back. */
  submit(edit: core.Edit): Promise<core.Result<core.Verdict>>;
  /** Notes that a router that knows offsets up to `nextOffset` was heard. */
  heard(router: string, nextOffset: number): void;
}

/** The contract under which the configuration is registered. */
export const CONFIGURATION = core.contract<Configuration>('configuration', [
  'tables',
  'isCurrent',
  'isStale',
  'submit',
  'heard',
]);

/** The contract under which the configuration's book is registered. */
export const CONFIG_BOOK = core.contract<decide.ConfigBook>('config-book', [
  'apply',
  'restore',
  'snapshot',
  'verdict',
]);

/** Configuration read from the log. */
export class LogConfiguration implements Configuration, core.Lifecycle {
  private readonly tasks: core.TaskGroup;
  private freshMs = Number.NEGATIVE_INFINITY;
  private aheadPeer: {router: string; nextOffset: number} | undefined;
  private snapshotOffset = 0;
  private snapshotMs = 0;
  private hasLostHistory = false;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly own: settings.Settings,
  ) {
    this.tasks = new core.TaskGroup(kernel.find(core.LOGGER));
  }

  start(): Promise<void> {
    this.snapshotMs = this.nowMs();
    this.tasks.spawn('configuration', signal => this.follow(signal));
    this.tasks.spawn('snapshots', signal => this.keepSnapshots(signal));
    return Promise.resolve();
  }

  stop(): Promise<void> {
    return this.tasks.stop();
  }

  tables(): core.Tables {
    return this.book.tables();
  }

  isCurrent(): boolean {
    return this.book.state === 'current';
  }

  isStale(): boolean {
    return this.nowMs() - this.freshMs > this.own.staleConfigMs;
  }

  nextOffset(): number {
    return this.isCurrent() ? this.book.nextOffset : 0;
  }

  snapshot(): core.Snapshot {
    return this.book.snapshot();
  }

  verdicts(): readonly core.Verdict[] {
    return this.book.verdicts();
  }

  heard(router: string, nextOffset: number): void {
    const ownOffset = this.nextOffset();
    if (nextOffset > ownOffset) this.aheadPeer = {router, nextOffset};
    // A router that is behind says nothing of what is newest.
    if (nextOffset === ownOffset && this.isCurrent()) {
      this.freshMs = this.nowMs();
    }
  }

  async submit(edit: core.Edit): Promise<core.Result<core.Verdict>> {
    const log = this.kernel.find(platform.LOG_CLIENT);
    const deadlineMs = this.nowMs() + VERDICT_TIMEOUT_MS;
    let appended = await log.append(core.CONFIG_STREAM, edit);
    let appendedMs = this.nowMs();
    while (this.nowMs() < deadlineMs) {
      const verdict = this.book.verdict(edit.edit_id);
      if (verdict) return core.succeed(verdict);
      // The reply may be lost and the edit stand; a second record of the same
      // edit counts once.
      if (!appended.ok && this.nowMs() - appendedMs > REAPPEND_MS) {
        appended = await log.append(core.CONFIG_STREAM, edit);
        appendedMs = this.nowMs();
      }
      await this.clock.sleep(POLL_MS);
    }
    const detail = `edit ${edit.edit_id} was not read back from the log`;
    return core.fail('edit_unknown', detail);
  }

  /** Reads the stream for as long as the router runs. */
  private async follow(signal: AbortSignal): Promise<void> {
    const log = this.kernel.find(platform.LOG_CLIENT);
    while (!signal.aborted) {
      const page = await log.read({
        stream: core.CONFIG_STREAM,
        from: this.book.nextOffset,
        waitMs: READ_WAIT_MS,
        signal,
      });
      if (signal.aborted) return;
      if (page.ok) this.take(page.value);
      await this.catchUp();
      if (!page.ok || !this.isCurrent()) {
        await this.clock.sleep(RETRY_MS, signal);
      }
    }
  }

  private take(page: platform.LogPage): void {
    const before = this.book.nextOffset;
    const state = this.book.apply(page.records, page.first);
    this.hasLostHistory = page.first > this.snapshotThrough(page);
    if (state !== 'current') return;
    this.freshMs = this.nowMs();
    if (this.book.nextOffset > before) this.announce();
  }

  /** The offset from which a newcomer could read the state, if any. */
  private snapshotThrough(page: platform.LogPage): number {
    for (const {offset, at_ms: atMs, record} of page.records) {
      const {type, through_offset: through} = (record ?? {}) as {
        type?: string;
        through_offset?: number;
      };
      if (type !== 'snapshot' || through === undefined) continue;
      this.snapshotOffset = Math.max(this.snapshotOffset, offset + 1);
      const ageMs = Math.max(0, this.clock.wallMs() - atMs);
      this.snapshotMs = this.nowMs() - ageMs;
    }
    return this.snapshotOffset === 0 ? 0 : this.snapshotOffset - 1;
  }

  private announce(): void {
    const log = this.kernel.find(core.LOGGER);
    log.info('configuration', {next_offset: this.book.nextOffset});
  }

  /** Takes over the state of a router that is ahead of this one. */
  private async catchUp(): Promise<void> {
    const ahead = this.aheadPeer;
    this.aheadPeer = undefined;
    if (!ahead || ahead.nextOffset <= this.nextOffset()) return;
    const calls = this.kernel.find(peerCalls.PEER_CALLS);
    const snapshot = await calls.snapshot(ahead.router);
    if (!snapshot.ok || !this.book.restore(snapshot.value)) return;
    this.freshMs = this.nowMs();
    this.announce();
  }

  /** Appends a snapshot when it is due and this router is first in line. */
  private async keepSnapshots(signal: AbortSignal): Promise<void> {
    const log = this.kernel.find(platform.LOG_CLIENT);
    while (!signal.aborted) {
      await this.clock.sleep(SNAPSHOT_CHECK_MS, signal);
      if (signal.aborted) return;
      if (!this.isSnapshotDue() || !this.isFirstInLine()) continue;
      const snapshot = this.book.snapshot();
      const appended = await log.append(core.CONFIG_STREAM, snapshot);
      if (!appended.ok) continue;
      this.snapshotOffset = appended.value + 1;
      this.snapshotMs = this.nowMs();
      this.kernel
        .find(core.LOGGER)
        .info('snapshot', {through_offset: snapshot.through_offset});
    }
  }

  private isSnapshotDue(): boolean {
    if (!this.isCurrent() || this.book.nextOffset === 0) return false;
    if (this.hasLostHistory) return true;
    const records = this.book.nextOffset - this.snapshotOffset;
    // Also without new records, since the snapshot itself expires.
    const ageMs = this.nowMs() - this.snapshotMs;
    return (
      records >= this.own.snapshotEvery || ageMs >= this.own.snapshotMaxAgeMs
    );
  }

  private isFirstInLine(): boolean {
    const known = this.kernel.find(fleet.FLEET);
    return known.leaders(SNAPSHOT_TASK)[0] === known.self();
  }

  private get book(): decide.ConfigBook {
    return this.kernel.find(CONFIG_BOOK);
  }

  private get clock(): core.Clock {
    return this.kernel.find(core.CLOCK);
  }

  private nowMs(): number {
    return this.clock.nowMs();
  }
}
