/** Tests of the oracle on small traces. */
import * as chai from 'chai';
import * as oracle from '../oracle.js';
import type * as traces from '../trace.js';

const ENGINES = ['engine-1', 'engine-2'];

function turn(
  chat: string,
  number: number,
  atMs: number,
  promptTokens: number,
): traces.ChatCall {
  return {
    type: 'chat',
    atMs,
    customer: 'customer-1',
    chat,
    turn: number,
    promptTokens,
    outputTokens: 10,
  };
}

const TWO_TURNS = [turn('a', 1, 0, 100), turn('a', 2, 10, 150)];

describe('oracle', () => {
  it('finds the whole context of a chat that returns', () => {
    const found = oracle.foresee(TWO_TURNS, {
      engines: ENGINES,
      cacheTokens: 1_000,
    });
    const whole = {returns: 1, possibleTokens: 110, cachedTokens: 110};
    chai.expect(found).to.deep.equal(whole);
    chai.expect(oracle.share(found)).to.equal(1);
  });

  it('has the cache of all engines in one place', () => {
    const chats = ['a', 'b'];
    const trace = [
      ...chats.map((chat, index) => turn(chat, 1, index, 90)),
      ...chats.map((chat, index) => turn(chat, 2, 10 + index, 100)),
    ];
    const found = oracle.foresee(trace, {engines: ENGINES, cacheTokens: 110});
    chai.expect(found.cachedTokens).to.equal(200);
  });

  it('forgets what does not fit, the least recently used first', () => {
    const trace = [
      turn('a', 1, 0, 90),
      turn('b', 1, 1, 90),
      turn('c', 1, 2, 90),
      turn('a', 2, 10, 100),
    ];
    const found = oracle.foresee(trace, {engines: ENGINES, cacheTokens: 100});
    chai.expect(found.cachedTokens).to.equal(0);
    chai.expect(found.possibleTokens).to.equal(100);
  });

  it('loses what a stopped engine held, and nothing else', () => {
    const lost = ENGINES.map(engine =>
      oracle.foresee(TWO_TURNS, {
        engines: ENGINES,
        cacheTokens: 1_000,
        churn: [{atMs: 5, engine, change: 'stopped'}],
      }),
    );
    const cached = lost.map(found => found.cachedTokens).sort((a, b) => a - b);
    chai.expect(cached).to.deep.equal([0, 110]);
  });

  it('finds the context again after a later turn stored it', () => {
    const trace = [...TWO_TURNS, turn('a', 3, 20, 200)];
    const all = ENGINES.map(engine =>
      oracle.foresee(trace, {
        engines: ENGINES,
        cacheTokens: 1_000,
        churn: [
          {atMs: 5, engine, change: 'stopped'},
          {atMs: 15, engine, change: 'started'},
        ],
      }),
    );
    const cached = all.map(found => found.cachedTokens).sort((a, b) => a - b);
    chai.expect(cached).to.deep.equal([160, 270]);
  });

  it('counts no first turn as a return', () => {
    const found = oracle.sum([{call: turn('a', 1, 0, 50), cachedTokens: 50}]);
    const none = {returns: 0, possibleTokens: 0, cachedTokens: 0};
    chai.expect(found).to.deep.equal(none);
  });
});
