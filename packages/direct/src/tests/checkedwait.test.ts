/** Unit tests of long waits for records that short reads check. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '../index.js';

const {expect} = chai;

type Result = direct.FeedResult<string>;

const NEWS: Result = {
  ok: true,
  page: {records: [{key: 'k', offset: 7, value: 'news'}], nextOffset: 8},
};
const NOTHING: Result = {ok: true, page: {records: [], nextOffset: 7}};
const FAILURE: Result = {
  ok: false,
  error: {type: 'unavailable', detail: 'down'},
};
const HISTORY_LOST: Result = {ok: false, error: {type: 'history_lost'}};

/** Clock whose sleeps end at once. */
class NoWaitClock extends core.SystemClock {
  override sleep(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
  }
}

/** Feed whose waits are silent, or end as told; short reads use a queue. */
class ScriptedFeed implements direct.Feed<string> {
  readonly checks: Result[] = [];
  waitResult: Promise<Result> = new Promise(() => undefined);
  waitSignal: AbortSignal | undefined;
  checkCount = 0;

  readLatest(): Promise<Result> {
    return Promise.resolve(NEWS);
  }

  readFrom({waitMs, signal}: direct.ReadOptions): Promise<Result> {
    if (waitMs > 0) {
      this.waitSignal = signal;
      return this.waitResult;
    }
    this.checkCount += 1;
    return Promise.resolve(this.checks.shift() ?? NOTHING);
  }
}

describe('a long wait for records', () => {
  let feed: ScriptedFeed;
  let isNeeded: () => boolean;
  const stop = new AbortController();

  const read = () => {
    const kernel = new core.Kernel();
    kernel.register(core.CLOCK, new NoWaitClock());
    kernel.register(core.LOGGER, new core.SilentLogger());
    const checked = new direct.CheckedWaitFeed(kernel, feed, {
      nextCheckMs: () => 1_000,
      isNeeded: () => isNeeded(),
    });
    const options = {fromOffset: 7, waitMs: 10_000, signal: stop.signal};
    return checked.readFrom(options);
  };

  beforeEach(() => {
    feed = new ScriptedFeed();
    isNeeded = () => true;
  });

  it('ends without a further short read once it is not needed', async () => {
    isNeeded = () => feed.checkCount < 2;
    const result = await read();
    expect(result).to.deep.equal(NOTHING);
    expect(feed.checkCount).to.equal(2);
    expect(feed.waitSignal?.aborted).to.equal(true);
  });

  it('ends with the news of a short read, and is closed', async () => {
    feed.checks.push(NOTHING, FAILURE, NEWS);
    expect(await read()).to.equal(NEWS);
    expect(feed.checkCount).to.equal(3);
    expect(feed.waitSignal?.aborted).to.equal(true);
  });

  it('ends if a short read shows that the history is lost', async () => {
    feed.checks.push(HISTORY_LOST);
    expect(await read()).to.equal(HISTORY_LOST);
  });

  it('ends with its own result, and no short read follows', async () => {
    feed.waitResult = Promise.resolve(FAILURE);
    expect(await read()).to.equal(FAILURE);
    await new Promise(resolve => setTimeout(resolve, 20));
    const {checkCount} = feed;
    await new Promise(resolve => setTimeout(resolve, 20));
    expect(feed.checkCount).to.equal(checkCount);
  });
});
