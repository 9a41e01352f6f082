/**
 * Tests how a follower reads bursts of records, and how it retries a store that
 * does not respond.
 */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '../index.js';

const {expect} = chai;

/** A clock whose sleeps resolve at once. */
class NoWaitClock extends core.SystemClock {
  override sleep(): Promise<void> {
    return Promise.resolve();
  }
}

/** A feed whose first `silentReads` reads fail. */
class SilentFeed implements direct.Feed<string> {
  readonly responseTimeoutsMs: number[] = [];

  constructor(
    private readonly silentReads: number,
    private readonly stopController: AbortController,
  ) {}

  readLatest({
    responseTimeoutMs,
  }: direct.LatestOptions): Promise<direct.FeedResult<string>> {
    this.responseTimeoutsMs.push(responseTimeoutMs);
    const isSilent = this.responseTimeoutsMs.length <= this.silentReads;
    return Promise.resolve(
      isSilent
        ? {ok: false, error: {type: 'unavailable', detail: 'silent'}}
        : {ok: true, page: {records: [], nextOffset: 3}},
    );
  }

  readFrom(): Promise<direct.FeedResult<string>> {
    this.stopController.abort();
    return Promise.resolve({ok: true, page: {records: [], nextOffset: 3}});
  }
}

/** A clock whose time advances by the duration of each sleep. */
class SteppedClock extends core.SystemClock {
  timeMs = 0;

  override nowMs(): number {
    return this.timeMs;
  }

  override sleep(delayMs: number): Promise<void> {
    this.timeMs += delayMs;
    return Promise.resolve();
  }
}

/** A feed whose records appear at set times; a record's offset is its index. */
class TimedFeed implements direct.Feed<number> {
  /** Number of records returned. */
  returnedCount = 0;

  constructor(
    private readonly timesMs: readonly number[],
    private readonly clock: SteppedClock,
    private readonly stopController: AbortController,
    /** Time that each record takes over the link, in ms. */
    private readonly msPerRecord = 0,
    private readonly maxRecords = Number.POSITIVE_INFINITY,
  ) {}

  readLatest(): Promise<direct.FeedResult<number>> {
    const endOffset = this.endOffset();
    return Promise.resolve(this.page(Math.max(0, endOffset - 1), endOffset));
  }

  readFrom({
    fromOffset,
  }: direct.ReadOptions): Promise<direct.FeedResult<number>> {
    const nextMs = this.timesMs[fromOffset];
    if (nextMs === undefined) this.stopController.abort();
    else this.clock.timeMs = Math.max(this.clock.timeMs, nextMs);
    const endOffset = Math.min(this.endOffset(), fromOffset + this.maxRecords);
    return Promise.resolve(this.page(fromOffset, endOffset));
  }

  private endOffset(): number {
    return this.timesMs.filter(atMs => atMs <= this.clock.timeMs).length;
  }

  private page(
    fromOffset: number,
    endOffset: number,
  ): direct.FeedResult<number> {
    const records: Array<direct.FeedRecord<number>> = [];
    for (let offset = fromOffset; offset < endOffset; offset++) {
      records.push({key: 'config', offset, value: offset});
    }
    this.returnedCount += records.length;
    this.clock.timeMs += records.length * this.msPerRecord;
    return {ok: true, page: {records, nextOffset: endOffset}};
  }
}

/**
 * Follows records that appear at the given times; returns the number of records
 * returned by the feed, and the delay with which each was handled.
 */
async function follow(
  timesMs: readonly number[],
  hasFewKeys: boolean,
  {msPerRecord = 0, maxRecords = Number.POSITIVE_INFINITY} = {},
) {
  const kernel = new core.Kernel();
  const clock = new SteppedClock();
  const stopController = new AbortController();
  kernel.register(core.LOGGER, new core.SilentLogger());
  kernel.register(core.CLOCK, clock);
  kernel.register(core.RANDOM, new core.SeededRandom(1));
  const feed = new TimedFeed(
    timesMs,
    clock,
    stopController,
    msPerRecord,
    maxRecords,
  );
  const lagsMs: number[] = [];
  const recordLag = ({offset}: direct.FeedRecord<number>) => {
    for (let delivered = lagsMs.length; delivered <= offset; delivered++) {
      lagsMs.push(clock.timeMs - timesMs[delivered]!);
    }
  };
  const follower = new direct.Follower(kernel, {
    name: 'tables',
    feed,
    handler: {
      onRecord: recordLag,
      onLatest: page => page.records.forEach(recordLag),
      onOffset: () => undefined,
      onLost: () => undefined,
      onRecovered: () => undefined,
    },
    waitMs: 28_000,
    pauseMs: () => 0,
    hasFewKeys,
    isNeeded: () => true,
    idleCheckMs: () => 0,
  });
  await follower.run(stopController.signal);
  return {sentCount: feed.returnedCount, lagsMs};
}

describe('a follower', () => {
  it('reads few records of a burst, and handles or supersedes each within 1 s', async () => {
    const burst = [
      0,
      ...Array.from({length: 25}, (none, index) => 5_000 + index * 60),
    ];
    const allRecords = await follow(burst, false);
    const latestOnly = await follow(burst, true);
    expect(allRecords.sentCount).to.be.at.least(burst.length);
    expect(latestOnly.sentCount).to.be.at.most(8);
    for (const {lagsMs} of [allRecords, latestOnly]) {
      expect(lagsMs).to.have.length(burst.length);
      expect(Math.max(...lagsMs)).to.be.at.most(1_000);
    }
  });

  it('reads few records of a burst if each takes 300 ms over a slow link, and handles or supersedes each within 2.5 s', async () => {
    const burst = [
      0,
      ...Array.from({length: 25}, (none, index) => 5_000 + index * 60),
    ];
    const link = {msPerRecord: 300, maxRecords: 4};
    const {sentCount, lagsMs} = await follow(burst, true, link);
    expect(lagsMs).to.have.length(burst.length);
    expect(Math.max(...lagsMs)).to.be.at.most(2_500);
    expect(sentCount).to.be.at.most(12);
  });

  it('handles records without delay if they are not part of a burst', async () => {
    const {lagsMs} = await follow([0, 2_000, 4_000, 9_000], true);
    expect(lagsMs).to.deep.equal([0, 0, 0, 0]);
  });

  it('retries a silent store soon, with response time-outs that grow for a slow one', async () => {
    const kernel = new core.Kernel();
    kernel.register(core.LOGGER, new core.SilentLogger());
    kernel.register(core.CLOCK, new NoWaitClock());
    kernel.register(core.RANDOM, new core.SeededRandom(1));
    const stopController = new AbortController();
    const feed = new SilentFeed(4, stopController);
    const seen: string[] = [];
    const follower = new direct.Follower(kernel, {
      name: 'tables',
      feed,
      handler: {
        onRecord: () => undefined,
        onLatest: () => seen.push('latest'),
        onOffset: offset => seen.push(`offset ${offset}`),
        onLost: () => seen.push('lost'),
        onRecovered: () => seen.push('recovered'),
      },
      waitMs: 0,
      pauseMs: () => 0,
      isNeeded: () => true,
      idleCheckMs: () => 0,
    });
    await follower.run(stopController.signal);
    expect(feed.responseTimeoutsMs).to.deep.equal([
      300, 600, 1_200, 1_200, 1_200,
    ]);
    expect(seen.slice(0, 4)).to.deep.equal([
      'lost',
      'recovered',
      'latest',
      'offset 3',
    ]);
  });

  it('has read nothing until a read has succeeded', async () => {
    const kernel = new core.Kernel();
    const clock = new SteppedClock();
    kernel.register(core.LOGGER, new core.SilentLogger());
    kernel.register(core.CLOCK, clock);
    kernel.register(core.RANDOM, new core.SeededRandom(1));
    const stopController = new AbortController();
    const seen: boolean[] = [];
    const see = () => seen.push(follower.hasRead);
    const page = {records: [], nextOffset: 3};
    const isNeeded = () => clock.timeMs < 1_000 || clock.timeMs >= 5_000;
    const follower: direct.Follower<string> = new direct.Follower(kernel, {
      name: 'endpoints',
      feed: {
        readLatest: () => {
          see();
          return Promise.resolve({ok: true, page});
        },
        readFrom: () => {
          see();
          if (clock.timeMs > 5_000) stopController.abort();
          return Promise.resolve({ok: true, page});
        },
      },
      handler: {
        onRecord: () => undefined,
        onLatest: () => undefined,
        onOffset: () => undefined,
        onLost: () => undefined,
        onRecovered: () => undefined,
      },
      waitMs: 0,
      pauseMs: () => 600,
      isNeeded,
      idleCheckMs: () => 500,
    });
    await follower.run(stopController.signal);
    expect(seen).to.deep.equal([false, true, true, false, true]);
  });

  /** Events of a follower that is not needed for some seconds. */
  async function rest(isLostElsewhere: () => boolean): Promise<string[]> {
    const kernel = new core.Kernel();
    const clock = new SteppedClock();
    kernel.register(core.LOGGER, new core.SilentLogger());
    kernel.register(core.CLOCK, clock);
    kernel.register(core.RANDOM, new core.SeededRandom(1));
    const stopController = new AbortController();
    const events: string[] = [];
    const page = {records: [], nextOffset: 3};
    // Needed for the first second and from the fifth on.
    const isNeeded = () => clock.timeMs < 1_000 || clock.timeMs >= 5_000;
    const follower = new direct.Follower(kernel, {
      name: 'endpoints',
      feed: {
        readLatest: () => {
          events.push(`latest at ${clock.timeMs}`);
          return Promise.resolve({ok: true, page});
        },
        readFrom: () => {
          events.push(`on at ${clock.timeMs}`);
          if (clock.timeMs > 5_000) stopController.abort();
          return Promise.resolve({ok: true, page});
        },
      },
      handler: {
        onRecord: () => undefined,
        onLatest: () => undefined,
        onOffset: () => undefined,
        onLost: () => undefined,
        onRecovered: () => events.push('recovered'),
      },
      waitMs: 0,
      pauseMs: () => 600,
      isNeeded,
      idleCheckMs: () => 500,
      isLostElsewhere,
    });
    await follower.run(stopController.signal);
    return events;
  }

  it('reads nothing while it is not needed, and then begins with the newest records', async () => {
    expect(await rest(() => false)).to.deep.equal([
      'latest at 0',
      'on at 0',
      'on at 600',
      'latest at 5200',
      'on at 5200',
    ]);
  });

  it('counts the store as recovered after a rest only if others could not read it meanwhile', async () => {
    let checks = 0;
    expect(await rest(() => ++checks === 2)).to.deep.equal([
      'latest at 0',
      'on at 0',
      'on at 600',
      'recovered',
      'latest at 5200',
      'on at 5200',
    ]);
  });
});
