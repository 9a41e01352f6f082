/** Prefix cache: matches, eviction and capacity. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as prefixcache from '../prefixcache.js';

const {expect} = chai;
const SEED = 41;

describe('prefix cache', () => {
  it('matches at most the cached and at most the requested tokens', () => {
    const cache = new prefixcache.PrefixCache(100);
    cache.store('a', 40);
    expect(cache.match('a', 30)).to.equal(30);
    expect(cache.match('a', 90)).to.equal(40);
    expect(cache.match('b', 90)).to.equal(0);
  });

  it('evicts the least recently used chat and reports it', () => {
    const reported: string[] = [];
    const cache = new prefixcache.PrefixCache(100, (type, chat) =>
      reported.push(`${type} ${chat}`),
    );
    cache.store('a', 40);
    cache.store('b', 40);
    cache.match('a', 1);
    cache.store('c', 40);
    expect(cache.match('b', 40)).to.equal(0);
    expect(cache.match('a', 40)).to.equal(40);
    expect(reported).to.deep.equal([
      'stored a',
      'stored b',
      'evicted b',
      'stored c',
    ]);
  });

  it('never holds more tokens than its capacity', () => {
    const step = fc.tuple(fc.nat(9), fc.nat(60));
    fc.assert(
      fc.property(fc.array(step), fc.nat(50), (steps, maxTokens) => {
        const cache = new prefixcache.PrefixCache(maxTokens);
        for (const [chat, tokens] of steps) {
          cache.store(String(chat), tokens);
          const cached = Math.min(tokens, maxTokens);
          if (cached > 0) chai.assert(cache.match(String(chat), 99) === cached);
          chai.assert(cache.totalTokens <= maxTokens);
        }
      }),
      {seed: SEED},
    );
  });
});
