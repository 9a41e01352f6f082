/** How a follower asks a store that does not answer. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '../index.js';

const {expect} = chai;

/** A clock that does not wait. */
class HastyClock extends core.SystemClock {
  override sleep(): Promise<void> {
    return Promise.resolve();
  }
}

/** A feed that answers after some tries. */
class SilentFeed implements direct.Feed<string> {
  readonly answersMs: number[] = [];

  constructor(
    private readonly silences: number,
    private readonly over: AbortController,
  ) {}

  newest({answerMs}: direct.NewestOptions): Promise<direct.FeedResult<string>> {
    this.answersMs.push(answerMs);
    const isSilent = this.answersMs.length <= this.silences;
    return Promise.resolve(
      isSilent
        ? {ok: false, error: {type: 'unavailable', detail: 'silent'}}
        : {ok: true, page: {items: [], nextOffset: 3}},
    );
  }

  read(): Promise<direct.FeedResult<string>> {
    this.over.abort();
    return Promise.resolve({ok: true, page: {items: [], nextOffset: 3}});
  }
}

describe('a follower', () => {
  it('asks a silent store again soon, and waits longer for a slow one', async () => {
    const kernel = new core.Kernel();
    kernel.register(core.LOGGER, new core.SilentLogger());
    kernel.register(core.CLOCK, new HastyClock());
    kernel.register(core.RANDOM, new core.SeededRandom(1));
    const over = new AbortController();
    const feed = new SilentFeed(4, over);
    const seen: string[] = [];
    const follower = new direct.Follower(kernel, {
      name: 'tables',
      feed,
      keeper: {
        item: () => undefined,
        reconcile: () => seen.push('reconciled'),
        reached: offset => seen.push(`reached ${offset}`),
        lost: () => seen.push('lost'),
        regained: () => seen.push('regained'),
      },
      waitMs: 0,
      pauseMs: () => 0,
    });
    await follower.run(over.signal);
    expect(feed.answersMs).to.deep.equal([300, 600, 1_200, 1_200, 1_200]);
    expect(seen.slice(0, 4)).to.deep.equal([
      'lost',
      'regained',
      'reconciled',
      'reached 3',
    ]);
  });
});
