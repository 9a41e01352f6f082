/** How a follower asks a store that does not answer. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '../index.js';

const {expect} = chai;

/** A clock that does not wait. */
class NoWaitClock extends core.SystemClock {
  override sleep(): Promise<void> {
    return Promise.resolve();
  }
}

/** A feed that answers after some tries. */
class SilentFeed implements direct.Feed<string> {
  readonly responseTimeoutsMs: number[] = [];

  constructor(
    private readonly silentReads: number,
    private readonly finished: AbortController,
  ) {}

  readLatest({
    responseTimeoutMs: answerMs,
  }: direct.LatestOptions): Promise<direct.FeedResult<string>> {
    this.responseTimeoutsMs.push(answerMs);
    const isSilent = this.responseTimeoutsMs.length <= this.silentReads;
    return Promise.resolve(
      isSilent
        ? {ok: false, error: {type: 'unavailable', detail: 'silent'}}
        : {ok: true, page: {records: [], nextOffset: 3}},
    );
  }

  readFrom(): Promise<direct.FeedResult<string>> {
    this.finished.abort();
    return Promise.resolve({ok: true, page: {records: [], nextOffset: 3}});
  }
}

/** A clock that runs as fast as it is waited for. */
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

/** A feed whose records come at set times; offsets count them. */
class TimedFeed implements direct.Feed<number> {
  /** Records that were handed out. */
  sentCount = 0;

  constructor(
    private readonly timesMs: readonly number[],
    private readonly clock: SteppedClock,
    private readonly finished: AbortController,
  ) {}

  readLatest(): Promise<direct.FeedResult<number>> {
    const endOffset = this.end();
    return Promise.resolve(this.page(Math.max(0, endOffset - 1), endOffset));
  }

  readFrom({
    fromOffset,
  }: direct.ReadOptions): Promise<direct.FeedResult<number>> {
    const nextMs = this.timesMs[fromOffset];
    if (nextMs === undefined) this.finished.abort();
    else this.clock.timeMs = Math.max(this.clock.timeMs, nextMs);
    return Promise.resolve(this.page(fromOffset, this.end()));
  }

  private end(): number {
    return this.timesMs.filter(atMs => atMs <= this.clock.timeMs).length;
  }

  private page(from: number, end: number): direct.FeedResult<number> {
    const items: Array<direct.FeedRecord<number>> = [];
    for (let offset = from; offset < end; offset++) {
      items.push({key: 'config', offset, value: offset});
    }
    this.sentCount += items.length;
    return {ok: true, page: {records: items, nextOffset: end}};
  }
}

/** Follows records at the given times; what was sent, and each one's lag. */
async function follow(timesMs: readonly number[], isWhole: boolean) {
  const kernel = new core.Kernel();
  const clock = new SteppedClock();
  const over = new AbortController();
  kernel.register(core.LOGGER, new core.SilentLogger());
  kernel.register(core.CLOCK, clock);
  kernel.register(core.RANDOM, new core.SeededRandom(1));
  const feed = new TimedFeed(timesMs, clock, over);
  const lagsMs: number[] = [];
  const see = ({offset}: direct.FeedRecord<number>) => {
    for (let known = lagsMs.length; known <= offset; known++) {
      lagsMs.push(clock.timeMs - timesMs[known]!);
    }
  };
  const follower = new direct.Follower(kernel, {
    name: 'tables',
    feed,
    handler: {
      onRecord: see,
      onLatest: page => page.records.forEach(see),
      onOffset: () => undefined,
      onLost: () => undefined,
      onRecovered: () => undefined,
    },
    waitMs: 28_000,
    pauseMs: () => 0,
    isFullState: isWhole,
  });
  await follower.run(over.signal);
  return {sent: feed.sentCount, lagsMs};
}

describe('a follower', () => {
  it('reads few records of a burst, each soon superseded or known', async () => {
    const burst = [
      0,
      ...Array.from({length: 25}, (none, at) => 5_000 + at * 60),
    ];
    const naive = await follow(burst, false);
    const chosen = await follow(burst, true);
    expect(naive.sent).to.be.at.least(burst.length);
    expect(chosen.sent).to.be.at.most(8);
    for (const {lagsMs} of [naive, chosen]) {
      expect(lagsMs).to.have.length(burst.length);
      expect(Math.max(...lagsMs)).to.be.at.most(1_000);
    }
  });

  it('hears of single records at once', async () => {
    const {lagsMs} = await follow([0, 2_000, 4_000, 9_000], true);
    expect(lagsMs).to.deep.equal([0, 0, 0, 0]);
  });

  it('asks a silent store again soon, and waits longer for a slow one', async () => {
    const kernel = new core.Kernel();
    kernel.register(core.LOGGER, new core.SilentLogger());
    kernel.register(core.CLOCK, new NoWaitClock());
    kernel.register(core.RANDOM, new core.SeededRandom(1));
    const over = new AbortController();
    const feed = new SilentFeed(4, over);
    const seen: string[] = [];
    const follower = new direct.Follower(kernel, {
      name: 'tables',
      feed,
      handler: {
        onRecord: () => undefined,
        onLatest: () => seen.push('reconciled'),
        onOffset: offset => seen.push(`reached ${offset}`),
        onLost: () => seen.push('lost'),
        onRecovered: () => seen.push('regained'),
      },
      waitMs: 0,
      pauseMs: () => 0,
    });
    await follower.run(over.signal);
    expect(feed.responseTimeoutsMs).to.deep.equal([
      300, 600, 1_200, 1_200, 1_200,
    ]);
    expect(seen.slice(0, 4)).to.deep.equal([
      'lost',
      'regained',
      'reconciled',
      'reached 3',
    ]);
  });
});
