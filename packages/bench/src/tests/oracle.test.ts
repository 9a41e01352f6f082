/** Tests of the oracle on small traces. */
import * as chai from 'chai';
import * as oracle from '../oracle.js';
import type * as traces from '../trace.js';

const ENGINES = ['engine-1', 'engine-2'];

function createTurn(
  chat: string,
  turn: number,
  atMs: number,
  promptTokens: number,
): traces.ChatCall {
  return {
    type: 'chat',
    atMs,
    customer: 'customer-1',
    chat,
    turn,
    promptTokens,
    outputTokens: 10,
  };
}

const TWO_TURNS = [createTurn('a', 1, 0, 100), createTurn('a', 2, 10, 150)];

describe('oracle', () => {
  it('finds the whole context of a chat that returns', () => {
    const reuse = oracle.simulateOracle(TWO_TURNS, {
      engines: ENGINES,
      cacheTokens: 1_000,
    });
    const expected = {returns: 1, possibleTokens: 110, cachedTokens: 110};
    chai.expect(reuse).to.deep.equal(expected);
    chai.expect(oracle.reuseShare(reuse)).to.equal(1);
  });

  it('pools the cache capacity of all engines', () => {
    const chats = ['a', 'b'];
    const trace = [
      ...chats.map((chat, index) => createTurn(chat, 1, index, 90)),
      ...chats.map((chat, index) => createTurn(chat, 2, 10 + index, 100)),
    ];
    const reuse = oracle.simulateOracle(trace, {
      engines: ENGINES,
      cacheTokens: 110,
    });
    chai.expect(reuse.cachedTokens).to.equal(200);
  });

  it('evicts the least recently used chats when the cache is full', () => {
    const trace = [
      createTurn('a', 1, 0, 90),
      createTurn('b', 1, 1, 90),
      createTurn('c', 1, 2, 90),
      createTurn('a', 2, 10, 100),
    ];
    const reuse = oracle.simulateOracle(trace, {
      engines: ENGINES,
      cacheTokens: 100,
    });
    chai.expect(reuse.cachedTokens).to.equal(0);
    chai.expect(reuse.possibleTokens).to.equal(100);
  });

  it('loses only the contexts of a stopped engine', () => {
    const results = ENGINES.map(engine =>
      oracle.simulateOracle(TWO_TURNS, {
        engines: ENGINES,
        cacheTokens: 1_000,
        churn: [{atMs: 5, engine, change: 'stopped'}],
      }),
    );
    const cachedTokens = results
      .map(reuse => reuse.cachedTokens)
      .sort((a, b) => a - b);
    chai.expect(cachedTokens).to.deep.equal([0, 110]);
  });

  it('finds a lost context again after the next turn stored it', () => {
    const trace = [...TWO_TURNS, createTurn('a', 3, 20, 200)];
    const results = ENGINES.map(engine =>
      oracle.simulateOracle(trace, {
        engines: ENGINES,
        cacheTokens: 1_000,
        churn: [
          {atMs: 5, engine, change: 'stopped'},
          {atMs: 15, engine, change: 'started'},
        ],
      }),
    );
    const cachedTokens = results
      .map(reuse => reuse.cachedTokens)
      .sort((a, b) => a - b);
    chai.expect(cachedTokens).to.deep.equal([160, 270]);
  });

  it('does not count first turns as returns', () => {
    const reuse = oracle.sumReuse([
      {call: createTurn('a', 1, 0, 50), cachedTokens: 50},
    ]);
    const expected = {returns: 0, possibleTokens: 0, cachedTokens: 0};
    chai.expect(reuse).to.deep.equal(expected);
  });
});
