/**
 * Keeps the history of the pools' versions in the store, so that it outlives the
 * loss of all routers. It holds when each version was listed, not the streams:
 * one record for each pool, written when a version comes or goes. A router that
 * starts reads the records once; until then it takes no version for the only one.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as decisions from './decisions.js';
import * as feedFollowers from './feedfollowers.js';
import * as feeds from './feeds.js';
import type * as model from './model.js';
import type * as settings from './settings.js';
import * as wakeablePause from './wakeablepause.js';

/** Records the versions of pools. */
export interface VersionRecords {
  /** Writes what has changed soon. */
  updateSoon(): void;
}

/** The contract under which the records are registered. */
export const VERSION_RECORDS = core.contract<VersionRecords>(
  'version-records',
  ['updateSoon'],
);

/** Response time-out of the read at the start, and the pause before the next. */
const READ_TIMEOUT_MS = 1_000;
const RETRY_INTERVAL_MS = 500;

/**
 * Interval between checks of the records, in ms: a store that came back from an
 * older copy has lost what was written last.
 */
const CHECK_INTERVAL_MS = 60_000;

/** Reads and writes the records in one task. */
export class StoredVersionRecords
  extends core.TaskService
  implements VersionRecords
{
  private readonly pause: wakeablePause.WakeablePause;
  /** What the store holds by pool, as far as this router knows. */
  private readonly stored = new Map<string, string>();

  constructor(
    kernel: core.Kernel,
    private readonly routerSettings: settings.Settings,
  ) {
    super(kernel, 'version_records');
    this.pause = new wakeablePause.WakeablePause(kernel.find(core.CLOCK));
  }

  updateSoon(): void {
    this.pause.wake();
  }

  protected async run(signal: AbortSignal): Promise<void> {
    if (this.routerSettings.isFirstStart) this.history.recordFirstStart();
    else await this.readEarlier(signal);
    while (!signal.aborted) {
      const isDone = await this.writeChanged(signal);
      const delayMs = isDone ? CHECK_INTERVAL_MS : RETRY_INTERVAL_MS;
      await this.pause.wait(delayMs, signal);
      if (isDone && this.isWriter()) await this.readStored(signal);
    }
  }

  private async readEarlier(signal: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    while (!signal.aborted) {
      const records = await this.readStored(signal);
      if (records) {
        for (const record of records) this.addEarlier(record);
        return;
      }
      await clock.sleep(RETRY_INTERVAL_MS, signal);
    }
  }

  private async readStored(
    signal: AbortSignal,
  ): Promise<readonly model.PoolVersions[] | undefined> {
    const responseTimeoutMs = READ_TIMEOUT_MS;
    const result = await this.kernel
      .find(feeds.FEEDS)
      .versions.readLatest({responseTimeoutMs, signal});
    if (!result.ok) return undefined;
    const records = result.page.records.flatMap(({value}) => value ?? []);
    this.stored.clear();
    for (const record of records) this.stored.set(record.pool, keyOf(record));
    return records;
  }

  private addEarlier({pool, versions, knownSinceMs}: model.PoolVersions): void {
    const nowMs = this.nowMs();
    const toMonotonicMs = (atMs: number) => nowMs + atMs - this.wallClockMs();
    const spans = versions.map(({version, endedAtMs}) =>
      endedAtMs === undefined
        ? {version}
        : {version, endedMs: toMonotonicMs(endedAtMs)},
    );
    const earlier = {spans, knownSinceMs: toMonotonicMs(knownSinceMs)};
    this.history.addEarlier(pool, earlier, nowMs);
    this.kernel.find(core.LOGGER).info('versions_recovered', {
      pool,
      versions: versions.map(({version}) => version).join(),
    });
  }

  /** Writes the records that differ; false if a write has to be tried again. */
  private async writeChanged(signal: AbortSignal): Promise<boolean> {
    if (!this.isWriter()) return true;
    let isDone = true;
    for (const pool of this.history.pools()) {
      const record = this.recordOf(pool);
      if (this.stored.get(pool) === keyOf(record)) continue;
      if (record.versions.length === 0) continue;
      const isWritten = await this.kernel
        .find(feeds.FEEDS)
        .recordVersions(record, signal);
      if (isWritten) this.stored.set(pool, keyOf(record));
      isDone &&= isWritten;
    }
    return isDone;
  }

  private recordOf(pool: string): model.PoolVersions {
    const nowMs = this.nowMs();
    const toWallClockMs = (atMs: number) =>
      Math.max(0, Math.round(this.wallClockMs() + atMs - nowMs));
    const {spans, knownSinceMs} = this.history.poolHistory(pool, nowMs);
    const versions = spans.map(({version, endedMs}) =>
      endedMs === undefined
        ? {version}
        : {version, endedAtMs: toWallClockMs(endedMs)},
    );
    return {pool, knownSinceMs: toWallClockMs(knownSinceMs), versions};
  }

  private isWriter(): boolean {
    const followers = this.kernel.find(feedFollowers.FEED_FOLLOWERS);
    return followers.isReader() && !followers.isStoreLost();
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }

  private wallClockMs(): number {
    return this.kernel.find(core.CLOCK).wallClockMs();
  }

  private get history(): decide.VersionHistory {
    return this.kernel.find(decisions.VERSION_HISTORY);
  }
}

/** What must be the same in two records of a pool; routers' clocks differ. */
function keyOf({versions}: model.PoolVersions): string {
  return versions
    .map(
      ({version, endedAtMs}) => `${endedAtMs ? 'ended' : 'listed'} ${version}`,
    )
    .sort()
    .join('\n');
}
