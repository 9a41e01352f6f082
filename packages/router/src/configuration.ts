/**
 * The configuration tables, replayed from the operators' edits on the
 * platform's log. One task reads and replays the stream; another appends
 * snapshots well before the records expire. While the log cannot be read, the
 * router takes a snapshot from a peer that is ahead.
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
const REAPPEND_AFTER_MS = 1_500;
const VERDICT_POLL_MS = 10;
const SNAPSHOT_CHECK_MS = 1_000;
const SNAPSHOT_TASK = 'config-snapshot';

/** The configuration in force at this router. */
export interface Configuration {
  tables(): core.Tables;
  /** Whether all records of the log below the next offset were replayed. */
  isCurrent(): boolean;
  /** Whether no log read or peer confirmed the tables in `staleConfigMs`. */
  isStale(): boolean;
  /** Next offset to read; all edits below it are in force at this router. */
  nextOffset(): number;
  snapshot(): core.Snapshot;
  verdicts(): readonly core.Verdict[];
  /** Appends an edit and waits until its verdict is read from the log. */
  submit(edit: core.Edit): Promise<core.Result<core.Verdict>>;
  /** Records the next offset that a router reports in its digest. */
  recordPeerOffset(router: string, nextOffset: number): void;
}

/** The contract under which the configuration is registered. */
export const CONFIGURATION = core.contract<Configuration>('configuration', [
  'tables',
  'isCurrent',
  'isStale',
  'submit',
  'recordPeerOffset',
]);

/** The contract under which the configuration replica is registered. */
export const CONFIG_REPLICA = core.contract<decide.ConfigReplica>(
  'config-replica',
  ['apply', 'restore', 'snapshot', 'verdict'],
);

/** Configuration replayed from the log. */
export class LogConfiguration implements Configuration, core.Lifecycle {
  private readonly tasks: core.TaskGroup;
  /** Monotonic time at which the tables were last confirmed as current. */
  private confirmedMs = Number.NEGATIVE_INFINITY;
  private aheadPeer: {router: string; nextOffset: number} | undefined;
  /** Offset after the newest snapshot; 0 before the first. */
  private snapshotOffset = 0;
  /** Monotonic time of the newest snapshot. */
  private snapshotMs = 0;
  /** Whether the log no longer retains all that a starting router needs. */
  private isHistoryIncomplete = false;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly routerSettings: settings.Settings,
  ) {
    this.tasks = new core.TaskGroup(kernel.find(core.LOGGER));
  }

  start(): Promise<void> {
    this.snapshotMs = this.nowMs();
    this.tasks.spawn('configuration', signal => this.followLog(signal));
    this.tasks.spawn('snapshots', signal => this.appendSnapshots(signal));
    return Promise.resolve();
  }

  stop(): Promise<void> {
    return this.tasks.stop();
  }

  tables(): core.Tables {
    return this.configReplica.tables();
  }

  isCurrent(): boolean {
    return this.configReplica.state === 'current';
  }

  isStale(): boolean {
    return this.nowMs() - this.confirmedMs > this.routerSettings.staleConfigMs;
  }

  nextOffset(): number {
    return this.isCurrent() ? this.configReplica.nextOffset : 0;
  }

  snapshot(): core.Snapshot {
    return this.configReplica.snapshot();
  }

  verdicts(): readonly core.Verdict[] {
    return this.configReplica.verdicts();
  }

  recordPeerOffset(router: string, nextOffset: number): void {
    const localOffset = this.nextOffset();
    if (nextOffset > localOffset) this.aheadPeer = {router, nextOffset};
    // Only a peer at the same offset confirms that this router is current; one
    // that is behind does not.
    if (nextOffset === localOffset && this.isCurrent()) {
      this.confirmedMs = this.nowMs();
    }
  }

  async submit(edit: core.Edit): Promise<core.Result<core.Verdict>> {
    const log = this.kernel.find(platform.LOG_CLIENT);
    const deadlineMs = this.nowMs() + VERDICT_TIMEOUT_MS;
    let appended = await log.append(core.CONFIG_STREAM, edit);
    let appendedMs = this.nowMs();
    while (this.nowMs() < deadlineMs) {
      const verdict = this.configReplica.verdict(edit.edit_id);
      if (verdict) return core.succeed(verdict);
      // The append may have taken effect although its reply was lost; a second
      // record of the same edit is ignored.
      if (!appended.ok && this.nowMs() - appendedMs > REAPPEND_AFTER_MS) {
        appended = await log.append(core.CONFIG_STREAM, edit);
        appendedMs = this.nowMs();
      }
      await this.clock.sleep(VERDICT_POLL_MS);
    }
    const detail = `edit ${edit.edit_id} was not read back from the log in time`;
    return core.fail('edit_unknown', detail);
  }

  /** Task that reads and replays the stream until the router stops. */
  private async followLog(signal: AbortSignal): Promise<void> {
    const log = this.kernel.find(platform.LOG_CLIENT);
    while (!signal.aborted) {
      const page = await log.read({
        stream: core.CONFIG_STREAM,
        from: this.configReplica.nextOffset,
        waitMs: READ_WAIT_MS,
        signal,
      });
      if (signal.aborted) return;
      if (page.ok) this.applyPage(page.value);
      await this.catchUp();
      if (!page.ok || !this.isCurrent()) {
        await this.clock.sleep(RETRY_MS, signal);
      }
    }
  }

  private applyPage(page: platform.LogPage): void {
    const previousOffset = this.configReplica.nextOffset;
    const status = this.configReplica.apply(page.records, page.first);
    this.isHistoryIncomplete = page.first > this.recordSnapshots(page);
    if (status !== 'current') return;
    this.confirmedMs = this.nowMs();
    if (this.configReplica.nextOffset > previousOffset) this.logNextOffset();
  }

  /**
   * Records position and time of the newest snapshot in the page. Returns the
   * offset of the newest snapshot seen, from which a starting router can
   * restore the state; 0 where none was seen yet.
   */
  private recordSnapshots(page: platform.LogPage): number {
    for (const {offset, at_ms: atMs, record} of page.records) {
      const {type, through_offset: throughOffset} = (record ?? {}) as {
        type?: string;
        through_offset?: number;
      };
      if (type !== 'snapshot' || throughOffset === undefined) continue;
      this.snapshotOffset = Math.max(this.snapshotOffset, offset + 1);
      const ageMs = Math.max(0, this.clock.wallClockMs() - atMs);
      this.snapshotMs = this.nowMs() - ageMs;
    }
    return this.snapshotOffset === 0 ? 0 : this.snapshotOffset - 1;
  }

  private logNextOffset(): void {
    const log = this.kernel.find(core.LOGGER);
    log.info('configuration', {next_offset: this.configReplica.nextOffset});
  }

  /** Restores the snapshot of a peer that is ahead of this router, if any. */
  private async catchUp(): Promise<void> {
    const peer = this.aheadPeer;
    this.aheadPeer = undefined;
    if (!peer || peer.nextOffset <= this.nextOffset()) return;
    const calls = this.kernel.find(peerCalls.PEER_CALLS);
    const snapshot = await calls.snapshot(peer.router);
    if (!snapshot.ok || !this.configReplica.restore(snapshot.value)) return;
    this.confirmedMs = this.nowMs();
    this.logNextOffset();
  }

  /** Task that appends a due snapshot while this router leads the task. */
  private async appendSnapshots(signal: AbortSignal): Promise<void> {
    const log = this.kernel.find(platform.LOG_CLIENT);
    while (!signal.aborted) {
      await this.clock.sleep(SNAPSHOT_CHECK_MS, signal);
      if (signal.aborted) return;
      if (!this.isSnapshotDue() || !this.isSnapshotLeader()) continue;
      const snapshot = this.configReplica.snapshot();
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
    if (!this.isCurrent() || this.configReplica.nextOffset === 0) return false;
    if (this.isHistoryIncomplete) return true;
    const records = this.configReplica.nextOffset - this.snapshotOffset;
    // A snapshot is renewed even without new records, since it expires too.
    const ageMs = this.nowMs() - this.snapshotMs;
    return (
      records >= this.routerSettings.snapshotEvery ||
      ageMs >= this.routerSettings.snapshotMaxAgeMs
    );
  }

  private isSnapshotLeader(): boolean {
    const fleetView = this.kernel.find(fleet.FLEET);
    return fleetView.leaders(SNAPSHOT_TASK)[0] === fleetView.self();
  }

  private get configReplica(): decide.ConfigReplica {
    return this.kernel.find(CONFIG_REPLICA);
  }

  private get clock(): core.Clock {
    return this.kernel.find(core.CLOCK);
  }

  private nowMs(): number {
    return this.clock.nowMs();
  }
}
